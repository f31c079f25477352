// Package callerhttp is the callers' HTTP entry of a node. It finds the route, the release and the endpoint of a request,
// makes the attempts that the retry rules allow, and streams the answer back. A caller can tell from every answer whether
// its request was answered, was not run, or may have run.
package callerhttp
