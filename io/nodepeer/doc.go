// Package nodepeer carries calls between nodes over multiplexed connections of package io/frame. A Server hands the
// calls that arrive to a core.Backend; a Dialer is the core.Forwarder of the other side.
//
// The first message on a connection is hello from the dialer, with a random number that names the connection, and
// welcome from the server, with the time that it has been running. Then come, for each attempt, open (with the body if it
// fits in one chunk), body and body-end; in the other direction head (with the body if it is short), answer-body and
// answer-end, or refused. credit grants further bytes of an answer's body, cancel gives up an attempt, revoke and revoked
// settle whether an attempt of an earlier connection has run.
package nodepeer
