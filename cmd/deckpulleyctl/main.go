// Command deckpulleyctl is the command-line client for operators: it reads and changes
// the configuration, evacuates zones, and shows members, replicas and status.
//
// Exit statuses:
//
//	0  success
//	1  the operation was refused or definitely failed
//	2  usage error or invalid file: nothing was sent
//	3  conflict: the base version is not the current one, or the order ID is in use
//	4  outcome unknown: repeat the command with the printed --order-id
//	5  no node could be reached: nothing was sent
//	6  status --check: the fleet is degraded
package main

import (
	"os"

	"github.com/deckpulley/deckpulley/cmd/deckpulleyctl/command"
)

func main() { os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr)) }
