// Command deckpulley-control runs one control node: a member of the group that
// keeps the registry, and, while it leads, the primary.
//
// Exit status: 0 after a stop, 1 after a failure, 2 for settings or usage.
package main

import "os"

func main() { os.Exit(execute(newCommand())) }
