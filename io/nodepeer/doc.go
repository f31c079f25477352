// Package nodepeer carries calls between nodes over multiplexed connections of package io/frame. A Server passes incoming
// calls to a core.Backend; a Dialer implements core.Forwarder on the calling node.
//
// A connection starts with hello from the dialer, which contains the random ID of the connection, and welcome from the
// server, which contains the uptime of its process. Each attempt of a call is a stream: the dialer sends open (with the body
// if it fits in one chunk), body and body-end; the server replies with head (with the body if it is short), answer-body and
// answer-end, or with refused. credit extends the flow-control window of an answer's body, and cancel abandons an attempt.
// revoke keeps an attempt of a lost connection from running if it has not started, and revoked returns the result. key and
// key-reply carry claims of idempotency keys, their settlement and the handover of stored keys. goaway announces that the
// server accepts no more calls, and ping and pong detect a silent connection.
package nodepeer
