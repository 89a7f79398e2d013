package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"papayaseam/internal/messenger"
	"papayaseam/internal/registrar"
	"papayaseam/internal/transporter"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
)

// ticketCall is one operator's call on one object: a ticket, or a read where
// the number is 0.
type ticketCall struct {
	number int
	author string
}

// ticketResult is what the operator learned.
type ticketResult struct {
	unknown  bool
	accepted bool
	kind     string
	winner   string
	current  string // current is the author of the state that was read.
}

// ticketState is the model's state: who won each number, and which number the
// object stands at.
type ticketState struct {
	winners string // winners lists "number=author;" in order of number.
	number  int
	author  string
}

func (s ticketState) winner(number int) string {
	var winner string
	for i := 0; i < len(s.winners); {
		var n int
		var author string
		end := i + slices.Index([]byte(s.winners[i:]), ';')
		_, _ = fmt.Sscanf(s.winners[i:end], "%d=%s", &n, &author)
		if n == number {
			winner = author
		}
		i = end + 1
	}
	return winner
}

// step is the specification of tickets on one object.
func step(state, input, output any) (bool, any) {
	s, call, result := state.(ticketState), input.(ticketCall), output.(ticketResult)
	if call.number == 0 {
		return result.current == s.author, s
	}
	winner := s.winner(call.number)
	switch {
	case winner == call.author:
		return result.accepted, s
	case winner != "":
		return (result.kind == registrar.RefusedNumberTaken && result.winner == winner), s
	case call.number <= s.number:
		return result.kind == registrar.RefusedNumberTooLow, s
	}
	next := ticketState{winners: s.winners + fmt.Sprintf("%d=%s;", call.number, call.author), number: call.number, author: call.author}
	return result.accepted, next
}

// recorder keeps the operators' calls with their times.
type recorder struct {
	mu    sync.Mutex
	began time.Time
	calls []porcupine.Operation
}

func (r *recorder) note(client int, call ticketCall, began time.Duration, result ticketResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, porcupine.Operation{ClientId: client, Input: call, Call: int64(began), Output: result, Return: int64(time.Since(r.began))})
}

// TestTicketsAreLinearizable lets operators race on one object while control
// leaders are killed and paused, and checks the whole history.
func TestTicketsAreLinearizable(t *testing.T) {
	t.Parallel()
	d := harrowQuill()
	d.instances, d.services = 0, 0
	s := start(t, d)
	s.leader()
	r := &recorder{began: time.Now()}
	var wg sync.WaitGroup
	for client := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.operate(r, client)
		}()
	}
	for range 2 {
		leader := s.leader()
		s.kill(leader)
		s.launch(s.processes[leader])
		leader = s.leader()
		s.signal(leader, syscall.SIGSTOP)
		time.Sleep(2 * time.Second)
		s.signal(leader, syscall.SIGCONT)
	}
	wg.Wait()
	model := porcupine.Model{Init: func() any { return ticketState{} }, Step: step}
	verdict := porcupine.CheckOperationsTimeout(model, r.calls, 2*time.Minute)
	t.Logf("%d calls: %s", len(r.calls), verdict)
	assert.Assert(t, len(r.calls) > 100, "too few calls to prove anything")
	assert.Equal(t, verdict, porcupine.Ok)
}

// operate makes one operator's calls. A ticket whose outcome is not known is
// sent again, as one call over the whole time; a read without an answer had no
// effect and is left out.
func (s *system) operate(r *recorder, client int) {
	rng := rand.New(rand.NewPCG(7, uint64(client)))
	for i := range 40 {
		call := ticketCall{author: fmt.Sprintf("operator-%d", client)}
		if i%4 != 3 {
			call.number = 1 + i/2 + rng.IntN(3)
		}
		began := time.Since(r.began)
		result := s.submitOnce(s.controls[rng.IntN(3)], call)
		for result.unknown && call.number > 0 {
			result = s.submitOnce(s.controls[rng.IntN(3)], call)
		}
		if !result.unknown {
			r.note(client, call, began, result)
		}
		time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
	}
}

func (s *system) submitOnce(address string, call ticketCall) ticketResult {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if call.number == 0 {
		return readOnce(ctx, address)
	}
	ticket := messenger.Ticket{Number: call.number, Author: call.author, Objects: []messenger.Object{{
		Kind: "objective", Name: "o", Objective: &messenger.ObjectiveSpec{Target: call.author, Percent: 99},
	}}}
	var answer messenger.CommandAnswer
	err := transporter.NewClient().Call(ctx, "http://"+address+"/v1/tickets", ticket, &answer)
	if err != nil || answer.Ticket == nil {
		return ticketResult{unknown: true}
	}
	return ticketResult{accepted: answer.Ticket.Accepted, kind: answer.Ticket.Kind, winner: answer.Ticket.Winner}
}

func readOnce(ctx context.Context, address string) ticketResult {
	var response messenger.SyncResponse
	if transporter.NewClient().Get(ctx, "http://"+address+"/v1/objects", &response) != nil {
		return ticketResult{unknown: true}
	}
	for _, object := range response.Objects {
		if object.Objective != nil {
			return ticketResult{current: object.Objective.Target}
		}
	}
	return ticketResult{}
}
