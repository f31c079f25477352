package frame

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"

	"parsleyport/core"
	"parsleyport/core/packed"
)

const (
	lengthBytes = 4
	typeBytes   = 2
	// readBufferBytes is the size of the only buffer that an idle connection holds. A longer message is read into memory of its
	// own, so the size only determines how many short frames one system call can read.
	readBufferBytes     = 512
	bulkReadBufferBytes = 64 << 10
	// maxPreallocatedBytes is the message length up to which memory is allocated before the message has arrived.
	maxPreallocatedBytes = 64 << 10
	// maxPooledBufferBytes is the capacity above which an encoding buffer is not returned to the pool.
	maxPooledBufferBytes = 64 << 10
)

// Errors of a connection; each of them leaves the connection unusable.
const (
	// ErrTooLong means that a frame is longer than core.MaxFrameBytes, or than the limit of the connection.
	ErrTooLong = errors.ConstError("frame too long")
	// ErrMalformed means that a frame or its message cannot be decoded.
	ErrMalformed = errors.ConstError("malformed frame")
)

// Type identifies a message type within one protocol.
type Type uint16

// Frame is a received message that has not been decoded yet.
type Frame struct {
	Type Type
	body []byte
}

// Decode decodes the message into target, a pointer, or returns ErrMalformed. It recovers from panics of the msgpack library,
// which some input causes, such as nil in place of a time, since a message must not end the process.
func (f Frame) Decode(target any) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Annotatef(ErrMalformed, "message type %d: %v", f.Type, cause)
		}
	}()
	if err := packed.Decode(f.body, target); err != nil {
		return errors.Annotatef(ErrMalformed, "message type %d: %v", f.Type, err)
	}
	return nil
}

// Len returns the size of the encoded message in bytes.
func (f Frame) Len() int {
	return len(f.body)
}

// Conn sends and receives frames. Send is safe for concurrent use; Receive may be called from one goroutine at a time.
type Conn struct {
	conn           net.Conn
	reader         *bufio.Reader
	mu             sync.Mutex    // guards writer and writeErr
	writer         *bufio.Writer // borrowed; nil unless it holds frames that a waiting sender will flush
	writeErr       error         // of a failed write, which may have sent a partial frame
	waitingSenders atomic.Int32
	sent           atomic.Uint64
	received       atomic.Uint64
	maxReceived    atomic.Int64
	compressor     *Compressor // nil if compressed messages cannot be read
	compress       atomic.Bool
	minCompressed  atomic.Int64 // messages shorter than this are not compressed
}

// New wraps one of many connections of a process. With a compressor, which may be nil, it can read compressed messages.
func New(conn net.Conn, compressor *Compressor) *Conn {
	return newWithReadBuffer(conn, compressor, readBufferBytes)
}

// NewBulk wraps one of a few connections that carry many messages; it holds a read buffer of 64 KiB.
func NewBulk(conn net.Conn, compressor *Compressor) *Conn {
	return newWithReadBuffer(conn, compressor, bulkReadBufferBytes)
}

func newWithReadBuffer(conn net.Conn, compressor *Compressor, bufferBytes int) *Conn {
	c := &Conn{
		conn:       conn,
		reader:     bufio.NewReaderSize(conn, bufferBytes),
		compressor: compressor,
	}
	c.maxReceived.Store(core.MaxFrameBytes)
	return c
}

// SetMaxReceived sets the length in bytes above which Receive returns ErrTooLong, up to core.MaxFrameBytes. A connection that has not
// introduced itself should get a small one, since Receive keeps a whole frame in memory before its type is known.
func (c *Conn) SetMaxReceived(bytes int) {
	c.maxReceived.Store(int64(min(bytes, core.MaxFrameBytes)))
}

// SetMinCompressed sets the length in bytes below which messages are not compressed even if the peer could read them.
func (c *Conn) SetMinCompressed(bytes int) {
	c.minCompressed.Store(int64(bytes))
}

// SetPeerCompressor turns compression on for the messages sent from now on if the peer's compressor has the ID of this one, and
// off otherwise.
func (c *Conn) SetPeerCompressor(peer CompressorID) {
	c.compress.Store(peer != 0 && peer == c.compressor.ID())
}

var encodeBuffers = sync.Pool{
	New: func() any { return new(bytes.Buffer) },
}

// Send writes one message before the deadline (zero for none). It flushes unless another sender is waiting, which then does so. It
// returns ErrTooLong for a message that does not fit in a frame; after a failed write, every call returns that write's error.
func (c *Conn) Send(deadline time.Time, kind Type, message any) error {
	buffer := encodeBuffers.Get().(*bytes.Buffer)
	defer func() {
		if buffer.Cap() <= maxPooledBufferBytes {
			encodeBuffers.Put(buffer)
		}
	}()
	buffer.Reset()
	buffer.Write(make([]byte, lengthBytes+typeBytes))
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(buffer)
	if err := encoder.Encode(message); err != nil {
		return errors.Annotatef(err, "encode message type %d", kind)
	}
	if buffer.Len()-lengthBytes > core.MaxFrameBytes {
		return errors.Annotatef(ErrTooLong, "message type %d has %d bytes", kind, buffer.Len())
	}
	framed := buffer.Bytes()
	binary.BigEndian.PutUint32(framed, uint32(buffer.Len()-lengthBytes))
	binary.BigEndian.PutUint16(framed[lengthBytes:], uint16(kind))
	if c.compress.Load() && int64(len(framed)) >= c.minCompressed.Load() {
		framed = c.compressor.compress(framed)
	}
	return c.write(deadline, framed)
}

func (c *Conn) write(deadline time.Time, bytes []byte) error {
	c.waitingSenders.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.waitingSenders.Add(-1) == 0
	if c.writeErr != nil {
		return errors.Trace(c.writeErr)
	}
	if err := c.conn.SetWriteDeadline(deadline); err != nil {
		return errors.Trace(err)
	}
	if err := c.writeOrBuffer(bytes, last); err != nil {
		c.writeErr = err
		c.releaseWriter()
		return errors.Trace(err)
	}
	c.sent.Add(uint64(len(bytes)))
	return nil
}

// writeOrBuffer buffers frames while other senders wait, so that a burst costs one system call; the last sender flushes.
func (c *Conn) writeOrBuffer(bytes []byte, last bool) error {
	if c.writer == nil && !last {
		c.writer = borrowWriter(c.conn)
	}
	if c.writer == nil {
		_, err := c.conn.Write(bytes)
		return err
	}
	if _, err := c.writer.Write(bytes); err != nil || !last {
		return err
	}
	defer c.releaseWriter()
	return c.writer.Flush()
}

func (c *Conn) releaseWriter() {
	if c.writer != nil {
		returnWriter(c.writer)
		c.writer = nil
	}
}

// Receive reads one frame before the deadline (zero for none). It returns io.EOF at the end of the stream between two frames,
// io.ErrUnexpectedEOF for a truncated frame, ErrTooLong or ErrMalformed.
func (c *Conn) Receive(deadline time.Time) (Frame, error) {
	_ = c.conn.SetReadDeadline(deadline) // fails only on a closed connection, for which the read returns a clearer error
	maxBytes := int(c.maxReceived.Load())
	frame, size, err := readUpTo(c.reader, maxBytes)
	c.received.Add(uint64(size))
	if err != nil || frame.Type&compressedFlag == 0 {
		return frame, err
	}
	if c.compressor == nil {
		return Frame{}, errors.Annotatef(ErrMalformed, "compressed message of type %d on a connection without compression", frame.Type&^compressedFlag)
	}
	return c.compressor.decompress(frame, maxBytes)
}

// Read reads one frame and returns its size on the wire in bytes; its errors are those of Conn.Receive.
func Read(reader io.Reader) (Frame, int, error) {
	return readUpTo(reader, core.MaxFrameBytes)
}

func readUpTo(reader io.Reader, maxBytes int) (Frame, int, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(reader, head[:]); err != nil {
		return Frame{}, 0, err
	}
	length := binary.BigEndian.Uint32(head[:])
	if uint64(length) > uint64(maxBytes) {
		return Frame{}, lengthBytes, errors.Annotatef(ErrTooLong, "%d bytes", length)
	}
	if length < typeBytes {
		return Frame{}, lengthBytes, errors.Annotatef(ErrMalformed, "%d bytes", length)
	}
	payload, err := readPayload(reader, int(length))
	if err != nil {
		return Frame{}, lengthBytes, err
	}
	return Frame{
		Type: Type(binary.BigEndian.Uint16(payload)),
		body: payload[typeBytes:],
	}, lengthBytes + int(length), nil
}

// readPayload grows its buffer as bytes arrive, so that a false length does not allocate memory.
func readPayload(reader io.Reader, length int) ([]byte, error) {
	if length <= maxPreallocatedBytes {
		payload := make([]byte, length)
		_, err := io.ReadFull(reader, payload)
		return payload, unexpectedEOF(err)
	}
	var payload bytes.Buffer
	n, err := io.CopyN(&payload, reader, int64(length))
	if n < int64(length) {
		return nil, unexpectedEOF(err)
	}
	return payload.Bytes(), nil
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Close closes the connection.
func (c *Conn) Close() error {
	return c.conn.Close()
}

// RemoteAddr returns the peer's address.
func (c *Conn) RemoteAddr() net.Addr {
	return c.conn.RemoteAddr()
}

// Bytes returns the numbers of bytes sent and received so far, as they are on the wire.
func (c *Conn) Bytes() (sent, received uint64) {
	return c.sent.Load(), c.received.Load()
}
