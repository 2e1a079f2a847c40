// Command deckpulley-gateway runs one gateway: it answers callers where to send
// requests, forwards their requests to replicas, and checks the health of the replicas
// of its region.
//
// Exit status: 0 after a stop, 1 after a failure, 2 for settings or flags.
package main

import "os"

func main() { os.Exit(execute(newCommand())) }
