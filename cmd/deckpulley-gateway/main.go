// Command deckpulley-gateway runs one gateway: it resolves for callers where to send
// requests, forwards their requests to replicas, and checks the health of the replicas
// of its region.
//
// Exit status: 0 after a normal shutdown, 1 after a failure, 2 for invalid settings
// or flags.
package main

import "os"

func main() { os.Exit(execute(newCommand())) }
