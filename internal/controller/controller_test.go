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

// node is a control process that runs inside the test process.
type node struct {
	t          *testing.T
	name       string
	address    string
	dataFolder string
	listener   net.Listener
	controller *Controller
	stop       func()
}

// start runs the process on its listener; stop ends it and waits for it.
func (n *node) start(peers map[string]string) {
	c, err := New(Config{Name: n.name, Address: n.address, DataFolder: n.dataFolder, Peers: peers, Seed: uint64(len(n.name))}, exposer.NewLogger(io.Discard, n.name))
	assert.NilError(n.t, err)
	mux := http.NewServeMux()
	c.Register(mux)
	server := &http.Server{Handler: mux}
	serveDone := make(chan error, 1)
	go func() { serveDone <- server.Serve(n.listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	runDone := make(chan error, 1)
	go func() { runDone <- c.Run(ctx) }()
	n.controller = c
	n.stop = func() {
		_ = server.Close()
		cancel()
		<-runDone
		<-serveDone
	}
}

// startNodes starts three founding control processes and returns them with their
// addresses by name.
func startNodes(t *testing.T) ([]*node, map[string]string) {
	var nodes []*node
	peers := map[string]string{}
	for i := range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		n := &node{t: t, name: fmt.Sprintf("control-%d", i+1), address: listener.Addr().String(), dataFolder: t.TempDir(), listener: listener}
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

// waitFor polls until condition holds and fails the test after 30 s.
func waitFor(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", failure)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(20*time.Millisecond))
}

// ticketCommand returns a ticket command that sets the version of model "verse" to
// "v" and the ticket number.
func ticketCommand(number int) messenger.Command {
	return messenger.Command{Kind: registrar.CommandTicket, Ticket: &messenger.Ticket{
		Number: number, Author: "hana", Reason: "test",
		Objects: []messenger.Object{{Kind: registrar.KindModel, Name: "verse", Model: &messenger.ModelSpec{Version: fmt.Sprint("v", number), Members: 2, Groups: 1}}},
	}}
}

// submitTicket sends a ticket repeatedly until its outcome is known.
func submitTicket(t *testing.T, n *node, number int) messenger.TicketAnswer {
	t.Helper()
	var answer messenger.TicketAnswer
	waitFor(t, "the outcome of the ticket is not known", func() bool {
		response := n.controller.commitCommand(context.Background(), ticketCommand(number))
		if response.Ticket == nil {
			return false
		}
		answer = *response.Ticket
		return true
	})
	return answer
}

// modelVersion returns the applied version of model "verse", empty if there is
// none.
func (n *node) modelVersion() string {
	n.controller.mu.Lock()
	defer n.controller.mu.Unlock()
	object, ok := n.controller.registrar.Object(registrar.KindModel, "verse")
	if !ok {
		return ""
	}
	return object.Model.Version
}

// TestTicketSentToAnyProcessIsAppliedByAll guards against tickets that only work
// when sent to the leader: followers must forward them and all must apply them.
func TestTicketSentToAnyProcessIsAppliedByAll(t *testing.T) {
	nodes, _ := startNodes(t)
	submitTicket(t, nodes[2], 7)
	submitTicket(t, nodes[0], 9)
	for _, n := range nodes {
		waitFor(t, n.name+" has not applied the ticket", func() bool { return n.modelVersion() == "v9" })
	}
}

// TestLowerTicketNumberIsNotApplied guards against a delayed ticket with a lower
// number overwriting a newer one.
func TestLowerTicketNumberIsNotApplied(t *testing.T) {
	nodes, _ := startNodes(t)
	submitTicket(t, nodes[0], 9)
	submitTicket(t, nodes[1], 7)
	waitFor(t, "the ticket is not applied", func() bool { return nodes[0].modelVersion() != "" })
	assert.Equal(t, nodes[0].modelVersion(), "v9")
}

// TestWipedReplicaJoinsUnderNewIdentity guards against a replica that lost its disk
// voting under its old identity: it could contradict votes it no longer
// remembers. It must replace its old identity and receive the committed state.
func TestWipedReplicaJoinsUnderNewIdentity(t *testing.T) {
	nodes, peers := startNodes(t)
	submitTicket(t, nodes[0], 7)
	wiped := nodes[1]
	oldIdentity := wiped.controller.journal.Identity()
	wiped.stop()
	entries, err := os.ReadDir(wiped.dataFolder)
	assert.NilError(t, err)
	for _, entry := range entries {
		assert.NilError(t, os.RemoveAll(filepath.Join(wiped.dataFolder, entry.Name())))
	}
	wiped.listener, err = net.Listen("tcp", wiped.address)
	assert.NilError(t, err)
	wiped.start(peers)
	waitFor(t, "the process with the wiped disk is not a voter", func() bool {
		identity := wiped.controller.journal.Identity()
		return identity != "" && identity != oldIdentity && slices.Contains(nodes[0].controller.currentVoters(), identity)
	})
	assert.Assert(t, !slices.Contains(nodes[0].controller.currentVoters(), oldIdentity))
	waitFor(t, "the process with the wiped disk has not applied the ticket", func() bool { return wiped.modelVersion() == "v7" })
}

// TestReplicaIdentityContainsProcessNameAndAddress guards the parsing of identities
// with and without the suffix of a rejoined replica.
func TestReplicaIdentityContainsProcessNameAndAddress(t *testing.T) {
	assert.Equal(t, enroller.AddressOf("control-1/3fa9@10.0.0.1:7"), "10.0.0.1:7")
	assert.Equal(t, processName("control-1/3fa9@10.0.0.1:7"), "control-1")
	assert.Equal(t, processName("control-1@10.0.0.1:7"), "control-1")
}
