package httpserver

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	// handshakeTime covers the rest of the TCP handshakes that are in progress when a listener closes: a round trip to callers in
	// nearby data centres.
	handshakeTime = 25 * time.Millisecond
	// handOutTimeout bounds the wait for a server that accepts no more.
	handOutTimeout = 500 * time.Millisecond
)

// Listener is a TCP listener whose Close resets no connection that a caller has established. The kernel accepts connections on behalf
// of the process and resets those that it still holds when the listening socket closes, although their callers may have sent requests.
// On systems without socket filters, a connection that is established in the microseconds between the last accept and the close is
// still reset.
type Listener struct {
	net.Listener
	closeOnce sync.Once
	closeErr  error
	ended     chan struct{} // closed when Accept has handed out all connections

	mu       sync.Mutex // guards the fields below
	leftover []net.Conn // accepted by Close
	hasEnded bool
}

// NewListener wraps a listener. Only TCP listeners get the guarantee of Close.
func NewListener(listener net.Listener) *Listener {
	return &Listener{
		Listener: listener,
		ended:    make(chan struct{}),
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if !errors.Is(err, net.ErrClosed) {
		return connection, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.leftover) > 0 {
		connection, l.leftover = l.leftover[0], l.leftover[1:]
		return connection, nil
	}
	if !l.hasEnded {
		l.hasEnded = true
		close(l.ended)
	}
	return nil, err
}

// Close refuses new connections, and returns once Accept has returned all that were established. It may be called more than once.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() {
		tcp, isTCP := l.Listener.(*net.TCPListener)
		if !isTCP {
			l.closeErr = l.Listener.Close()
			return
		}
		if err := ignoreNewHandshakes(tcp); err == nil {
			time.Sleep(handshakeTime)
		}
		l.mu.Lock()
		l.leftover = acceptAll(tcp)
		l.closeErr = l.Listener.Close()
		l.mu.Unlock()
		select {
		case <-l.ended:
		case <-time.After(handOutTimeout):
		}
	})
	return l.closeErr
}

// ignoreNewHandshakes drops the first packets of further handshakes. Their callers send them again after a second and are refused
// then, while handshakes in progress can complete. It fails on systems without socket filters.
func ignoreNewHandshakes(listener *net.TCPListener) error {
	const (
		flagsOffset = 13 // in the TCP header
		flagACK     = 0x10
		keepAll     = 1 << 30
	)
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: flagACK, Jt: 0, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: keepAll},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
	}
	raw, err := listener.SyscallConn()
	if err != nil {
		return errors.Trace(err)
	}
	var setErr error
	err = raw.Control(func(descriptor uintptr) {
		setErr = unix.SetsockoptSockFprog(int(descriptor), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{
			Len:    uint16(len(filter)),
			Filter: &filter[0],
		})
	})
	if err == nil {
		err = setErr
	}
	return errors.Trace(err)
}

// acceptAll returns the established connections that the kernel still holds.
func acceptAll(listener *net.TCPListener) []net.Conn {
	raw, err := listener.SyscallConn()
	if err != nil {
		return nil
	}
	var accepted []net.Conn
	_ = raw.Control(func(listening uintptr) { // fails only on a closed listener
		for {
			descriptor, _, err := unix.Accept4(int(listening), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if errors.Is(err, unix.EINTR) || errors.Is(err, unix.ECONNABORTED) {
				continue
			}
			if err != nil {
				return // none is left, or there are no more file descriptors
			}
			file := os.NewFile(uintptr(descriptor), "connection")
			connection, err := net.FileConn(file) // uses a copy of the descriptor
			_ = file.Close()
			if err == nil {
				accepted = append(accepted, connection)
			}
		}
	})
	return accepted
}
