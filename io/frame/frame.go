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
	// readBytes is the only buffer that an idle connection holds. A longer message is read into its own memory, so the size
	// only decides how many short frames one system call can read.
	readBytes = 512
	bulkBytes = 64 << 10
	// trustedBytes is the length up to which memory for a message is taken before it has arrived.
	trustedBytes = 64 << 10
	// maxEncoderBytes is the size above which the buffer of a message is not kept for the next one.
	maxEncoderBytes = 64 << 10
)

// Errors of a connection; all of them leave the connection unusable.
const (
	// ErrTooLong means that a frame's length is over core.MaxFrameBytes.
	ErrTooLong = errors.ConstError("frame is too long")
	// ErrMalformed means that a frame or its message cannot be decoded.
	ErrMalformed = errors.ConstError("frame is malformed")
)

// Type numbers the messages of one protocol.
type Type uint16

// Frame is one received message that is not decoded yet.
type Frame struct {
	Type Type
	body []byte
}

// Decode decodes the message into target, a pointer; it returns ErrMalformed. The msgpack library panics on some input,
// such as nil in the place of a time, which must not end the process.
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

// Conn sends and receives frames; Send may be called from any goroutine, Receive from one.
type Conn struct {
	conn     net.Conn
	reader   *bufio.Reader
	mu       sync.Mutex    // guards writer and broken
	writer   *bufio.Writer // borrowed, nil unless it holds frames that a waiting sender is going to flush
	broken   error         // of a failed write, which may have sent a part of a frame
	waiting  atomic.Int32
	sent     atomic.Uint64
	received atomic.Uint64
	packing  *Packing // nil if packed messages are not read
	packs    atomic.Bool
}

// New wraps a connection, one of many of its process. With a packing, which may be nil, it reads packed messages.
func New(conn net.Conn, packing *Packing) *Conn {
	return newSize(conn, packing, readBytes)
}

// NewBulk wraps one of few connections that carry many messages; it keeps a read buffer of 64 KiB for its whole life.
func NewBulk(conn net.Conn, packing *Packing) *Conn {
	return newSize(conn, packing, bulkBytes)
}

func newSize(conn net.Conn, packing *Packing, bytes int) *Conn {
	return &Conn{
		conn:    conn,
		reader:  bufio.NewReaderSize(conn, bytes),
		packing: packing,
	}
}

// Pack has messages packed from now on if the peer reads them, which it does if it has a packing of the same id.
func (c *Conn) Pack(peer PackingID) {
	c.packs.Store(peer != 0 && peer == c.packing.ID())
}

var encoders = sync.Pool{
	New: func() any { return new(bytes.Buffer) },
}

// Send writes one message before the deadline (zero for none) and flushes unless another sender is waiting to do so.
func (c *Conn) Send(deadline time.Time, kind Type, message any) error {
	buffer := encoders.Get().(*bytes.Buffer)
	defer func() {
		if buffer.Cap() <= maxEncoderBytes {
			encoders.Put(buffer)
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
	head := buffer.Bytes()
	binary.BigEndian.PutUint32(head, uint32(buffer.Len()-lengthBytes))
	binary.BigEndian.PutUint16(head[lengthBytes:], uint16(kind))
	if c.packs.Load() {
		head = c.packing.pack(head)
	}
	return c.write(deadline, head)
}

func (c *Conn) write(deadline time.Time, bytes []byte) error {
	c.waiting.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.waiting.Add(-1) == 0
	if c.broken != nil {
		return errors.Trace(c.broken)
	}
	if err := c.conn.SetWriteDeadline(deadline); err != nil {
		return errors.Trace(err)
	}
	if err := c.put(bytes, last); err != nil {
		c.broken = err
		c.release()
		return errors.Trace(err)
	}
	c.sent.Add(uint64(len(bytes)))
	return nil
}

// put collects frames while senders wait, so that a burst costs one system call. The last of them flushes.
func (c *Conn) put(bytes []byte, last bool) error {
	if c.writer == nil && !last {
		c.writer = borrow(c.conn)
	}
	if c.writer == nil {
		_, err := c.conn.Write(bytes)
		return err
	}
	if _, err := c.writer.Write(bytes); err != nil || !last {
		return err
	}
	defer c.release()
	return c.writer.Flush()
}

func (c *Conn) release() {
	if c.writer != nil {
		giveBack(c.writer)
		c.writer = nil
	}
}

// Receive reads one frame before the deadline (zero for none); it returns io.EOF at the end between two frames,
// io.ErrUnexpectedEOF for a cut frame, ErrTooLong or ErrMalformed.
func (c *Conn) Receive(deadline time.Time) (Frame, error) {
	_ = c.conn.SetReadDeadline(deadline) // fails only on a closed connection, which the read reports better
	frame, size, err := Read(c.reader)
	c.received.Add(uint64(size))
	if err != nil || frame.Type&packedType == 0 {
		return frame, err
	}
	if c.packing == nil {
		return Frame{}, errors.Annotatef(ErrMalformed, "packed message of type %d", frame.Type&^packedType)
	}
	return c.packing.unpack(frame)
}

// Read reads one frame and returns its size on the wire in bytes; its errors are those of Conn.Receive.
func Read(reader io.Reader) (Frame, int, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(reader, head[:]); err != nil {
		return Frame{}, 0, err
	}
	length := binary.BigEndian.Uint32(head[:])
	if length > core.MaxFrameBytes {
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

// readPayload grows its buffer with the bytes that arrive, so that a false length costs no memory.
func readPayload(reader io.Reader, length int) ([]byte, error) {
	if length <= trustedBytes {
		payload := make([]byte, length)
		_, err := io.ReadFull(reader, payload)
		return payload, cut(err)
	}
	var payload bytes.Buffer
	n, err := io.CopyN(&payload, reader, int64(length))
	if n < int64(length) {
		return nil, cut(err)
	}
	return payload.Bytes(), nil
}

func cut(err error) error {
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

// Bytes returns how many bytes were sent and received.
func (c *Conn) Bytes() (sent, received uint64) {
	return c.sent.Load(), c.received.Load()
}
