package declarer

import (
	"testing"

	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const badTicket = `[ticket]
number = 0
author = hana
[model verse-8b]
members = many
colour = blue
[organisation o]
keys-sha256 = secret
[widget w]
[objective x]
measure = smiles
target = t
[model verse-8b]
stray
`

func TestMistakesAreNamedWithTheirLines(t *testing.T) {
	f, err := Parse("0001.ini", []byte(badTicket[:len(badTicket)-len("[model verse-8b]\nstray\n")]))
	assert.NilError(t, err)
	_, err = f.Ticket()
	golden.Assert(t, err.Error()+"\n", "mistakes.txt")
}

func TestLineThatIsNoKeyIsNamed(t *testing.T) {
	_, err := Parse("0001.ini", []byte("[ticket]\nnumber = 1\nstray\n"))
	problems, ok := err.(Problems)
	assert.Assert(t, ok, "%v", err)
	assert.Equal(t, problems[0].Line, 3)
}

func TestDoubledKeyIsNamed(t *testing.T) {
	f, err := Parse("0001.ini", []byte("[ticket]\nnumber = 1\nnumber = 2\nauthor = a\nreason = r\n[remove model m]\n"))
	assert.NilError(t, err)
	_, err = f.Ticket()
	golden.Assert(t, err.Error()+"\n", "doubled.txt")
}

func TestDiffShowsWhatChanges(t *testing.T) {
	current := []messenger.Object{{Kind: "model", Name: "m", Model: &messenger.ModelSpec{Version: "v1", Members: 2, Groups: 1}}}
	ticket := messenger.Ticket{Number: 2, Objects: []messenger.Object{
		{Kind: "model", Name: "m", Model: &messenger.ModelSpec{Version: "v2", Members: 2, Groups: 3}},
		{Kind: "service", Name: "orders", Service: &messenger.ServiceSpec{Parallel: 4}},
		{Kind: "organisation", Name: "o", Removed: true},
	}}
	golden.Assert(t, Diff(current, ticket), "diff.txt")
}
