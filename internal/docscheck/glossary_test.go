package docscheck

import (
	"slices"
	"strings"
	"testing"
)

const glossaryPage = "docs/GLOSSARY.md"

// usersWords are the words of the system's users that a newcomer may meet in a
// request, a brief or an incident, and that the code calls otherwise.
var usersWords = []string{
	// Of control and state.
	"places table", "head record", "entry naming a server", "marker", "all or none", "prescan", "permission",
	"primary", "the machine in charge", "secondary", "time in charge", "still in charge", "round", "ballot", "promise", "vote",
	"settle", "stored stably", "beat", "book", "ledger", "copy", "saves", "replay of changes", "our machine",
	"machine with a disk", "list", "mates", "fellows", "kin", "seed", "life", "identity of a disk", "swapped out", "mend",
	"condition of an update", "version of the table", "version of the configuration", "data folder", "settings",
	// Of leases, configuration and operators.
	"hold", "may act", "holder", "keeper", "fence", "may hold a lease", "told", "news", "word", "letter", "note", "errand",
	"in force at a node", "in force everywhere", "order", "outraced", "hand in", "sent on", "empty a zone", "drains", "leaves",
	"duty", "deferral", "the platform", "list of borrowed machines", "routes by host and path", "a change of some items",
	// Of requests.
	"where to go", "stays at home", "pinned", "overflow", "ask to take over", "try", "further try", "second copy",
	"share of repeats", "pause that grows", "repeatable", "turned away", "refused", "cannot say", "whole", "held", "line",
	"queue of waiting", "ceiling", "shed", "share", "worth", "aim", "set point", "wanted value", "feedback loop", "room",
	"quick question", "long review", "fetch", "piece", "part", "place (in a stream)", "mark", "door for HTTP", "late or crossed answer", "small web service", "lot", "helper",
	// Of replicas and load.
	"borrowed machine", "model server", "who looks after a replica", "probe", "cold", "ramp", "flooded", "ill", "sick",
	"thrown out", "kept apart", "work before a replica", "reads the prompt", "makes tokens", "kept prefix",
	"memory of a prompt", "shared beginning of prompts", "put back", "pushed out", "speed of a service's engines",
	"speed of a replica", "taking a replica for a long prompt", "who adds the loads up",
	// Of faults.
	"trouble", "mishap", "cut", "silence", "frozen", "rolled", "power lost", "wiped disk", "vanish", "crowd", "region lost", "clock stepped",
}

// words returns what the users say, row by row.
func words(rows []row) []string {
	var found []string
	for _, r := range rows {
		found = append(found, strings.Split(r.cells[0], ", ")...)
	}
	return found
}

func TestGlossaryHasEachWordOfTheUsersOnce(t *testing.T) {
	found := words(readPage(t, glossaryPage).rows())
	for _, word := range usersWords {
		if !slices.Contains(found, word) {
			t.Errorf("%s: %q has no row", glossaryPage, word)
		}
	}
	slices.Sort(found)
	for i := 1; i < len(found); i++ {
		if found[i] == found[i-1] {
			t.Errorf("%s: %q stands twice", glossaryPage, found[i])
		}
	}
}

// TestGlossaryNamesTheCode holds that each row has a term, a meaning, and a Go name
// that is declared, or says that there is none.
func TestGlossaryNamesTheCode(t *testing.T) {
	parsed := loadSource(t)
	read := readPage(t, glossaryPage)
	holdReferences(t, parsed, read, everyPackage)
	for _, r := range read.rows() {
		if len(r.cells) != 4 || slices.Contains(r.cells, "") {
			t.Errorf("%s:%d: needs the users' words, a term, a name and a meaning", read.path, r.number)
			continue
		}
		if r.cells[2] != "none" && len(references(r.cells[2])) == 0 {
			t.Errorf("%s:%d: %q is no Go name", read.path, r.number, r.cells[2])
		}
	}
}
