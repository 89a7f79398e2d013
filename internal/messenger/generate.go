// Package messenger holds the messages that the processes of papayaseam
// exchange, generated from schema/messages.yaml.
//
// # Usage
//
// Edit the schema and run the generator; the result is committed, so that a
// build needs no generator:
//
//	go generate ./internal/messenger
//
// All messages travel as JSON over HTTP. Durations are whole milliseconds in
// fields that end in Ms, indexes and epochs start at 1, and a zero value is
// left out of the JSON form.
package messenger

//go:generate go tool go-jsonschema --only-models --tags json -p messenger -o messages.go ../../schema/messages.yaml
//go:generate go tool go-jsonschema --only-models --tags json -p messenger -o fleet.go ../../schema/fleet.yaml
