package transporter

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Server is one HTTP listener as an actor.
type Server struct {
	listener     net.Listener
	server       *http.Server
	closeTimeout time.Duration
}

// closeTimeout bounds what the answers under way may take when a server ends. Handlers
// that have work left are not waited for.
const closeTimeout = 50 * time.Millisecond

// Listen opens the address and returns a server for the handler.
func Listen(address string, handler http.Handler, opts ...Option) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s; choose a free address in the settings", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	for _, opt := range opts {
		opt(server)
	}
	return &Server{listener: listener, server: server, closeTimeout: closeTimeout}, nil
}

// Address returns the address in use.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run serves until the context ends, then finishes the answers under way and closes all
// connections.
func (s *Server) Run(ctx context.Context) error {
	ended := make(chan error, 1)
	go func() { ended <- s.server.Serve(countedListener{s.listener}) }()
	select {
	case <-ctx.Done():
		s.close()
		<-ended
		return nil
	case err := <-ended:
		return errors.Wrap(err, "serve")
	}
}

func (s *Server) close() {
	ctx, cancel := context.WithTimeout(context.Background(), s.closeTimeout)
	defer cancel()
	if s.server.Shutdown(ctx) != nil {
		_ = s.server.Close()
	}
}

// Read decodes a message from a request and answers 400 where it can not.
func Read(w http.ResponseWriter, r *http.Request, in any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxInnerBytes)).Decode(in)
	if err != nil {
		http.Error(w, "the message is not valid JSON of its schema: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Write answers with a message.
func Write(w http.ResponseWriter, status int, out any) {
	data, err := json.Marshal(out)
	if err != nil {
		http.Error(w, "the answer has no JSON form: "+err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// Handle registers a handler for one kind of message that is answered by
// another one.
func Handle[In, Out any](mux *http.ServeMux, pattern string, handle func(ctx context.Context, in In) Out) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		var in In
		if Read(w, r, &in) {
			Write(w, http.StatusOK, handle(r.Context(), in))
		}
	})
}
