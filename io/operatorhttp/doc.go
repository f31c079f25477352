// Package operatorhttp contains the operators' API of a control instance and its client. Any control instance takes a submission; a
// client resends it with the same submission id until it has a verdict.
package operatorhttp
