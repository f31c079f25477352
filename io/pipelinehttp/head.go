package pipelinehttp

import (
	"bytes"
	"net/http"
	"strings"
)

const (
	// defaultMaxHeadBytes is 16 times a usual head with cookies. net/http reads 1 MiB, which 64 connections could turn into more
	// than the memory of a node.
	defaultMaxHeadBytes = 64 << 10
	// defaultMaxEmptyLines bounds the empty lines before a request. Some clients send one after a body.
	defaultMaxEmptyLines = 16
)

// headLimits bounds the head of a request.
type headLimits struct {
	bytes      int // without empty lines before the request
	lines      int // header lines, with continued ones; zero means any number
	emptyLines int // before the request
}

// headCounter finds the end of a head and checks its limits while it is read.
type headCounter struct {
	limits  headLimits
	scanned int // bytes without a line end after lineAt
	lineAt  int // where the current line begins
	beginAt int // where the request line begins
	endAt   int // after the head, zero until it is complete
	lines   int // including the request line
	empty   int // lines before the request line
	hosts   int
	inHost  bool // the last line was a Host header
	hostAt  int  // where the line of the Host header begins
	hostEnd int
}

// scan goes on with the bytes that were read since the last call; data always begins at the same byte. It returns true once the head
// is complete, or the status of a refusal.
func (h *headCounter) scan(data []byte) (complete bool, status int) {
	for h.endAt == 0 {
		i := bytes.IndexByte(data[h.scanned:], '\n')
		if i < 0 {
			h.scanned = len(data)
			break
		}
		line, next := data[h.lineAt:h.scanned+i], h.scanned+i+1
		line = bytes.TrimSuffix(line, []byte{'\r'})
		switch {
		case h.lines == 0 && len(line) == 0:
			if h.empty++; h.empty > h.limits.emptyLines {
				return false, http.StatusBadRequest
			}
			h.beginAt = next
		case len(line) == 0:
			h.endAt = next
		default:
			if h.lines++; h.limits.lines > 0 && h.lines > 1+h.limits.lines {
				return false, http.StatusRequestHeaderFieldsTooLarge
			}
			if h.lines == 1 && !isRequestLine(line) {
				return false, http.StatusBadRequest
			}
			isHost := isHostLine(line)
			if isHost {
				h.hosts++
				h.hostAt, h.hostEnd = h.lineAt, h.lineAt+len(line)
			}
			// The value of a continued Host line would differ from the one that is checked.
			if h.inHost && (line[0] == ' ' || line[0] == '\t') {
				return false, http.StatusBadRequest
			}
			h.inHost = isHost
		}
		h.lineAt, h.scanned = next, next
	}
	end := len(data)
	if h.endAt > 0 {
		end = h.endAt
	}
	if end-h.beginAt > h.limits.bytes {
		return false, http.StatusRequestHeaderFieldsTooLarge
	}
	return h.endAt > 0, 0
}

// isRequestLine reports whether a first line may be one of HTTP/1, so that other protocols are refused without waiting for an empty
// line, which they may never send.
func isRequestLine(line []byte) bool {
	i := bytes.LastIndexByte(line, ' ')
	return i > 0 && bytes.HasPrefix(line[i+1:], []byte("HTTP/")) && bytes.IndexByte(line, ' ') < i
}

const hostName = "host:"

func isHostLine(line []byte) bool {
	return len(line) >= len(hostName) && strings.EqualFold(string(line[:len(hostName)]), hostName)
}

// host returns the value of the Host header. The data is that of the last scan, which may have been moved since.
func (h *headCounter) host(data []byte) []byte {
	if h.hosts == 0 {
		return nil
	}
	return bytes.Trim(data[h.hostAt+len(hostName):h.hostEnd], " \t")
}

// validNameByte and validHostByte list the bytes of header names (tokens of RFC 9110) and of Host headers.
var validNameByte, validHostByte = byteTable("!#$%&'*+-.^_`|~"), byteTable("!$%&'()*+,-.:;=[]_~")

func byteTable(punctuation string) (table [256]bool) {
	for b := range table {
		letter := b | 0x20
		table[b] = b >= '0' && b <= '9' || letter >= 'a' && letter <= 'z' && b < 0x80 || strings.IndexByte(punctuation, byte(b)) >= 0
	}
	return table
}

// validName reports whether a text may be the name of a header.
func validName(name string) bool { return name != "" && consistsOf(name, &validNameByte) }

func consistsOf[T string | []byte](text T, table *[256]bool) bool {
	for i := range len(text) {
		if !table[text[i]] {
			return false
		}
	}
	return true
}

// validValue reports whether a text may be the value of a header: it has no control characters except tabs.
func validValue(value string) bool {
	for i := range len(value) {
		if b := value[i]; b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}
