// Command chat streams one model answer through a public client library.
//
// # Usage
//
// With examples/three-domains running and its first ticket submitted:
//
//	go run ./examples/chat "a clue for the old lighthouse"
package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
)

func main() {
	client := openai.NewClient(option.WithBaseURL("http://127.0.0.1:8080/v1/"), option.WithAPIKey("papaya-demo-key"))
	stream := client.Chat.Completions.NewStreaming(context.Background(), openai.ChatCompletionNewParams{
		Model:    "verse-8b",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(strings.Join(os.Args[1:], " "))},
	})
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			fmt.Print(choice.Delta.Content)
		}
	}
	fmt.Println()
	if err := stream.Err(); err != nil {
		fmt.Fprintln(os.Stderr, "chat:", err)
		os.Exit(1)
	}
}
