package replicator

import (
	"errors"

	"github.com/google/go-cmp/cmp"
)

// cmpErrors compares errors by their sentinel errors.
var cmpErrors = cmp.Comparer(func(a, b error) bool { return errors.Is(a, b) })
