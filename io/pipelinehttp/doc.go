// Package pipelinehttp serves HTTP/1.1 connections for an http.Handler, as the server of net/http does, but runs pipelined safe
// requests of one connection concurrently and answers them in the order of arrival. Requests are parsed by http.ReadRequest.
package pipelinehttp
