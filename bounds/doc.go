// Package bounds holds tests that hold the decisions of routing, limits and
// retries to the brief's and the letter's targets, in virtual time with seeds.
//
// # Usage
//
//	go test -v ./bounds
//
// The real router, admission and retry budget are driven by a small fake
// endpoint with a queue; the tables go into docs/MEASUREMENTS.md.
package bounds
