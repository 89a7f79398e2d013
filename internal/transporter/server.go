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
	port         *port // port bounds the connections; nil without limits.
	connStates   []func(conn net.Conn, state http.ConnState)
}

// closeTimeout bounds what the answers under way may take when a server ends. Handlers
// that have work left are not waited for.
const closeTimeout = 50 * time.Millisecond

// Listen opens the address and returns a server for the handler.
func Listen(address string, handler http.Handler, opts ...Option) (*Server, error) {
	s := &Server{server: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}, closeTimeout: closeTimeout}
	for _, opt := range opts {
		opt(s)
	}
	s.server.ConnState = s.connStateChanged
	var config net.ListenConfig
	if s.port != nil {
		config.Control = s.port.limits.boundBuffers
	}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s; choose a free address in the settings", address)
	}
	s.listener = listener
	return s, nil
}

func (s *Server) connStateChanged(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*limitedConn); ok && state == http.StateIdle {
		c.enter(stateWaiting)
	}
	for _, changed := range s.connStates {
		changed(conn, state)
	}
}

// accepting returns the listener with its counts and limits.
func (s *Server) accepting() net.Listener {
	listener := countedListener{s.listener}
	if s.port == nil {
		return listener
	}
	return limitedListener{listener, s.port}
}

// Address returns the address in use.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run serves until the context ends, then finishes the answers under way and closes all
// connections.
func (s *Server) Run(ctx context.Context) error {
	ended := make(chan error, 1)
	go func() { ended <- s.server.Serve(s.accepting()) }()
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

// decodeCopies is how often a message is copied as it is decoded: its texts, and those of them
// that are decoded once more.
const decodeCopies = 2

// Read decodes a message from a request and answers an error where it can not.
func Read(w http.ResponseWriter, r *http.Request, in any) bool {
	body, ok := read(w, r, in)
	body.Release()
	return ok
}

// ReadHeld is Read for a message that is kept until the request is answered: its bytes count
// until then.
func ReadHeld(w http.ResponseWriter, r *http.Request, in any) bool {
	_, ok := read(w, r, in)
	return ok
}

func read(w http.ResponseWriter, r *http.Request, in any) (*Body, bool) {
	body, err := ReadBody(w, r, maxInnerBytes, 0)
	if err != nil {
		WriteBodyError(w, err)
		return nil, false
	}
	data, err := body.Bytes()
	if err != nil {
		WriteBodyError(w, err)
		return body, false
	}
	release, err := body.AwaitWork(r.Context(), decodeCopies)
	if err != nil {
		WriteBodyError(w, ErrBodyRefused)
		return body, false
	}
	defer release()
	defer body.drop()
	if err := json.Unmarshal(data, in); err != nil {
		http.Error(w, "the message is not valid JSON of its schema: "+err.Error(), http.StatusBadRequest)
		return body, false
	}
	return body, true
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
