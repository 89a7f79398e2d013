package transporter

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrUnsound means that an answer is none in the protocol, or that its end can't be told for
// sure. It comes with ErrBroken; ask elsewhere.
var ErrUnsound = errors.New("the answer is not sound HTTP; its connection is closed")

const (
	minFinalStatus = 200
	maxStatus      = 599
)

// headChecker checks the heads of the answers to one request as they arrive: those before the
// final one, and that one. The HTTP library accepts more than the protocol allows: any status
// of three digits, field names with blanks, two framings at once.
type headChecker struct {
	line   []byte
	first  bool // first is set until the status line is read.
	fields int  // fields counts the lines after it.
	done   bool // done is set once the final head has ended.
	read   int  // read counts the bytes of the answer.
	status int
	minor  byte // minor is the digit after HTTP/1.
	length bool // length is set once a Content-Length was read.
	filled bool // filled is set if that is not 0.
	coding bool // coding is set once a Transfer-Encoding was read.
	fault  string
}

func newHeadChecker() headChecker { return headChecker{first: true} }

// write passes what was read from the connection.
func (h *headChecker) write(data []byte) {
	h.read += len(data)
	for !h.done && h.fault == "" && len(data) > 0 {
		i := bytes.IndexByte(data, '\n')
		if i < 0 {
			h.keep(data)
			return
		}
		h.keep(data[:i])
		data = data[i+1:]
		line := bytes.TrimSuffix(h.line, []byte("\r"))
		h.line = h.line[:0]
		h.endLine(line)
	}
}

// keep adds a part of the line that is being read. The HTTP library ends an exchange whose head
// is longer than it may be.
func (h *headChecker) keep(part []byte) {
	if len(h.line)+len(part) <= maxHeaderBytes {
		h.line = append(h.line, part...)
	}
}

func (h *headChecker) endLine(line []byte) {
	switch {
	case h.first:
		h.first, h.fields = false, 0
		h.checkStatusLine(line)
	case len(line) == 0:
		h.endHead()
	case h.fields > 0 && (line[0] == ' ' || line[0] == '\t'):
		// The line continues the one before.
		h.checkValue(line)
	default:
		h.fields++
		h.checkField(line)
	}
}

// checkStatusLine checks a line of the form "HTTP/1.1 200 OK".
func (h *headChecker) checkStatusLine(line []byte) {
	rest, ok := bytes.CutPrefix(line, []byte("HTTP/1."))
	if !ok || len(rest) < 5 || rest[0] < '0' || rest[0] > '9' || rest[1] != ' ' || len(rest) > 5 && rest[5] != ' ' {
		h.fault = "status line"
		return
	}
	h.minor, h.status = rest[0], 0
	for _, c := range rest[2:5] {
		if c < '0' || c > '9' {
			h.fault = "status"
			return
		}
		h.status = 10*h.status + int(c-'0')
	}
	if h.status < http.StatusContinue || h.status > maxStatus {
		h.fault = "status"
	}
}

// checkField checks a line of the form "Name: value".
func (h *headChecker) checkField(line []byte) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	switch {
	case !ok || !isToken(string(name)):
		h.fault = "field name"
		return
	case strings.EqualFold(string(name), "Content-Length"):
		h.length, h.filled = true, string(bytes.TrimSpace(value)) != "0"
	case strings.EqualFold(string(name), "Transfer-Encoding"):
		h.coding = true
	}
	h.checkValue(value)
}

func (h *headChecker) checkValue(value []byte) {
	if bytes.ContainsFunc(value, isControl) {
		h.fault = "field value"
	}
}

// endHead checks the framing of a head, and expects another head after one that is not final.
func (h *headChecker) endHead() {
	noBody := h.status < minFinalStatus || h.status == http.StatusNoContent
	switch {
	case h.coding && (h.length || h.minor == '0'), noBody && (h.coding || h.filled):
		h.fault = "framing"
	case h.status < minFinalStatus && h.status != http.StatusSwitchingProtocols:
		h.first, h.length, h.filled, h.coding = true, false, false, false
	default:
		h.done = true
	}
}

// isToken reports whether a text is a token, as the names of fields must be.
func isToken(name string) bool {
	return name != "" && !strings.ContainsFunc(name, func(c rune) bool {
		isLetter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		return !isLetter && (c < '0' || c > '9') && !strings.ContainsRune("!#$%&'*+-.^_`|~", c)
	})
}

// isControl reports whether a character must not be in the value of a field.
func isControl(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }

// checkResponse checks what is known of a final answer without its head.
func checkResponse(response *http.Response) string {
	switch {
	case response.StatusCode < minFinalStatus || response.StatusCode > maxStatus:
		return "status"
	case response.ProtoMajor > 1:
		return "status line"
	}
	return checkNames(response.Header)
}

func checkNames(header http.Header) string {
	for name := range header {
		if !isToken(name) {
			return "field name"
		}
	}
	return ""
}
