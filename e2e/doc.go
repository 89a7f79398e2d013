// Package e2e holds tests that build the binary and run the system as separate
// processes over loopback TCP.
//
// # Usage
//
//	go test ./e2e
//
// Each test starts its own processes and ends them by their process numbers.
// No verdict depends on how long something took; waits have a generous limit
// after which a test fails with the logs of its processes.
package e2e
