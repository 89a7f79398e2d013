//go:build review

package main

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	// roundTrip is the time from the arrival of held bytes to that of the close behind them,
	// which is sent once they are acknowledged.
	roundTrip = 3 * time.Millisecond
	// answerTime is how long a path waits for an answer that it delivers to nobody.
	answerTime = 2 * time.Second
	copyBytes  = 32 << 10
)

// cutPath is the path to one process while it is cut: what a sender writes, and that it has
// closed its end, arrives once the path is whole again.
type cutPath struct {
	l        *lab
	target   string
	heals    time.Time // heals is when the path is whole again.
	listener net.Listener
	held     sync.WaitGroup
}

// cut returns the path to a target, which is cut from now on for a time.
func (l *lab) cut(target string, cutFor time.Duration) (*cutPath, error) {
	listener, err := net.Listen("tcp", l.base+".91:0")
	if err != nil {
		return nil, err
	}
	p := &cutPath{l: l, target: target, heals: time.Now().Add(cutFor), listener: listener}
	l.note("the path to %s is cut for %v", target, cutFor)
	p.held.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			p.held.Go(func() { p.carry(conn) })
		}
	})
	return p, nil
}

func (p *cutPath) address() string { return p.listener.Addr().String() }

// close waits until all that is held has arrived.
func (p *cutPath) close() {
	_ = p.listener.Close()
	p.held.Wait()
}

// carry holds what arrives on a connection until the path is whole, and delivers it.
func (p *cutPath) carry(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(p.heals)
	data := make([]byte, 0, copyBytes)
	closed := false
	for !closed && len(data) < cap(data) {
		n, err := conn.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err != nil && time.Now().After(p.heals) {
			break
		}
		closed = err != nil
	}
	time.Sleep(time.Until(p.heals))
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		p.l.note("the path is whole again, but leads nowhere: %v", err)
		return
	}
	defer func() { _ = target.Close() }()
	p.l.note("the path is whole again; %q arrives, and its sender has closed: %v", firstLine(data), closed)
	_, _ = target.Write(data)
	time.Sleep(roundTrip)
	if tcp, ok := target.(*net.TCPConn); ok && closed {
		_ = tcp.CloseWrite()
	}
	_ = target.SetReadDeadline(time.Now().Add(answerTime))
	answer, _ := io.ReadAll(io.LimitReader(target, copyBytes))
	p.l.note("it is answered %q, which nobody reads", firstLine(answer))
}

func firstLine(data []byte) string {
	for i, c := range data {
		if c == '\r' || c == '\n' {
			return string(data[:i])
		}
	}
	return string(data)
}
