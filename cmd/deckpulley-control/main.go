// Command deckpulley-control runs one control node: a member of the consensus group
// that stores the registry, and the primary while it is the group's leader.
//
// Exit status: 0 after a normal shutdown, 1 after a failure, 2 for invalid settings
// or a usage error.
package main

import "os"

func main() { os.Exit(execute(newCommand())) }
