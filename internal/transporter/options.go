package transporter

import (
	"context"
	"net"
	"net/http"
	"time"

	"papayaseam/internal/limiter"
)

// Option changes a setting of a Server.
type Option func(*Server)

// WithClosed calls a function with the remote address of each connection that
// was closed.
func WithClosed(closed func(remote string)) Option {
	return func(s *Server) {
		s.connStates = append(s.connStates, func(conn net.Conn, state http.ConnState) {
			if state == http.StateClosed {
				closed(conn.RemoteAddr().String())
			}
		})
	}
}

// WithLimits keeps what the clients of a port make the process hold within limits; nil changes
// nothing. The handlers must read bodies by ReadBody or Read only.
func WithLimits(limits *Limits, use limiter.Port) Option {
	return func(s *Server) {
		if limits != nil {
			limits.limit(s, use)
		}
	}
}

// ClientOption changes a setting of a Client.
type ClientOption func(*http.Transport)

// WithLost calls a function with the address of each connection that has
// closed, by whichever end. The function must not wait.
func WithLost(lost func(address string)) ClientOption {
	return func(t *http.Transport) {
		dial := t.DialContext
		t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &watched{Conn: conn, closed: func() { lost(address) }}, nil
		}
	}
}

// WithDialTimeout bounds the time to open a connection.
func WithDialTimeout(d time.Duration) ClientOption {
	return func(t *http.Transport) {
		dial := t.DialContext
		t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, d)
			defer cancel()
			return dial(ctx, network, address)
		}
	}
}

// WithIdle sets how many idle connections to one address are kept, and for how
// long.
func WithIdle(n int, life time.Duration) ClientOption {
	return func(t *http.Transport) {
		t.MaxIdleConnsPerHost = n
		t.IdleConnTimeout = life
	}
}
