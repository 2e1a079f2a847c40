// Command deckpulleyctl is the operators' command line: it reads and changes the
// configuration, evacuates zones, and shows members, replicas and status.
//
// Exit statuses:
//
//	0  done
//	1  refused, or failed for certain
//	2  wrong usage, or an invalid file: nothing was sent
//	3  outraced: the base version is not the current one, or the order id is taken
//	4  outcome unknown: repeat the command with the printed --order-id
//	5  no node could be reached: nothing was sent
//	6  status --check: something is degraded
package main

import (
	"os"

	"github.com/deckpulley/deckpulley/cmd/deckpulleyctl/command"
)

func main() { os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr)) }
