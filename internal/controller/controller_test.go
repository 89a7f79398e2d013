package controller

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"papayaseam/internal/enroller"
	"papayaseam/internal/exposer"
	"papayaseam/internal/messenger"
	"papayaseam/internal/registrar"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// node is one control process in this test's process.
type node struct {
	t          *testing.T
	name       string
	address    string
	folder     string
	listener   net.Listener
	controller *Controller
	stop       func()
}

func (n *node) start(peers map[string]string) {
	c, err := New(Config{Name: n.name, Address: n.address, DataFolder: n.folder, Peers: peers, Seed: uint64(len(n.name))}, exposer.NewLogger(io.Discard, n.name))
	assert.NilError(n.t, err)
	mux := http.NewServeMux()
	c.Register(mux)
	server := &http.Server{Handler: mux}
	served := make(chan error, 1)
	go func() { served <- server.Serve(n.listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	ran := make(chan error, 1)
	go func() { ran <- c.Run(ctx) }()
	n.controller = c
	n.stop = func() {
		_ = server.Close()
		cancel()
		<-ran
		<-served
	}
}

// newNodes starts three founding processes.
func newNodes(t *testing.T) ([]*node, map[string]string) {
	var nodes []*node
	peers := map[string]string{}
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		n := &node{t: t, name: fmt.Sprintf("control-%d", i+1), address: l.Addr().String(), folder: t.TempDir(), listener: l}
		nodes = append(nodes, n)
		peers[n.name] = n.address
	}
	for _, n := range nodes {
		n.start(peers)
	}
	t.Cleanup(func() {
		for _, n := range nodes {
			n.stop()
		}
	})
	return nodes, peers
}

func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(20*time.Millisecond))
}

func ticket(number int) messenger.Command {
	return messenger.Command{Kind: registrar.CommandTicket, Ticket: &messenger.Ticket{
		Number: number, Author: "hana", Reason: "test",
		Objects: []messenger.Object{{Kind: registrar.KindModel, Name: "verse", Model: &messenger.ModelSpec{Version: fmt.Sprint("v", number), Members: 2, Groups: 1}}},
	}}
}

// submit sends a ticket until its outcome is known.
func submit(t *testing.T, n *node, number int) messenger.TicketAnswer {
	t.Helper()
	var answer messenger.TicketAnswer
	await(t, "no outcome", func() bool {
		got := n.controller.command(context.Background(), ticket(number))
		if got.Ticket == nil {
			return false
		}
		answer = *got.Ticket
		return true
	})
	return answer
}

func (n *node) version() string {
	n.controller.mu.Lock()
	defer n.controller.mu.Unlock()
	object, ok := n.controller.registrar.Object(registrar.KindModel, "verse")
	if !ok {
		return ""
	}
	return object.Model.Version
}

func TestTicketThroughAnyProcessIsAppliedByAll(t *testing.T) {
	nodes, _ := newNodes(t)
	submit(t, nodes[2], 7)
	submit(t, nodes[0], 9)
	for _, n := range nodes {
		await(t, n.name+" lacks the ticket", func() bool { return n.version() == "v9" })
	}
}

func TestLowerNumberChangesNothing(t *testing.T) {
	nodes, _ := newNodes(t)
	submit(t, nodes[0], 9)
	submit(t, nodes[1], 7)
	await(t, "the ticket is not applied", func() bool { return nodes[0].version() != "" })
	assert.Equal(t, nodes[0].version(), "v9")
}

func TestEmptiedDiskJoinsUnderANewIdentity(t *testing.T) {
	nodes, peers := newNodes(t)
	submit(t, nodes[0], 7)
	lost := nodes[1]
	before := lost.controller.journal.Identity()
	lost.stop()
	entries, err := os.ReadDir(lost.folder)
	assert.NilError(t, err)
	for _, entry := range entries {
		assert.NilError(t, os.RemoveAll(filepath.Join(lost.folder, entry.Name())))
	}
	lost.listener, err = net.Listen("tcp", lost.address)
	assert.NilError(t, err)
	lost.start(peers)
	await(t, "the emptied process does not vote", func() bool {
		identity := lost.controller.journal.Identity()
		return identity != "" && identity != before && slices.Contains(nodes[0].controller.currentVoters(), identity)
	})
	assert.Assert(t, !slices.Contains(nodes[0].controller.currentVoters(), before))
	await(t, "the emptied process lacks the ticket", func() bool { return lost.version() == "v7" })
}

func TestIdentitiesNameProcessAndAddress(t *testing.T) {
	assert.Equal(t, enroller.AddressOf("control-1/3fa9@10.0.0.1:7"), "10.0.0.1:7")
	assert.Equal(t, nameOf("control-1/3fa9@10.0.0.1:7"), "control-1")
	assert.Equal(t, nameOf("control-1@10.0.0.1:7"), "control-1")
}
