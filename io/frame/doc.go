// Package frame carries msgpack messages in length-prefixed frames over a TCP connection. A frame is four bytes of length
// (big endian, counting what follows), two bytes of message type, and the msgpack encoding of the message.
package frame
