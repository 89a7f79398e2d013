package runner

import (
	"bytes"
	"io"
	stdlog "log"

	"github.com/charmbracelet/log"
)

// libraryLog takes the lines that libraries write on the standard logger into
// the process's own form, without the bytes of messages that some quote.
type libraryLog struct{ log *log.Logger }

var _ io.Writer = libraryLog{}

// Write logs one line.
func (l libraryLog) Write(text []byte) (int, error) {
	said, _, _ := bytes.Cut(bytes.TrimSpace(text), []byte(" starting with"))
	l.log.Warn("library", "said", string(said))
	return len(text), nil
}

// takeLibraryLogs sends the standard logger's lines to the process's log.
func takeLibraryLogs(logger *log.Logger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(libraryLog{logger})
}
