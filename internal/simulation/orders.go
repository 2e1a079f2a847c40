package simulation

import (
	"encoding/binary"
	"hash/fnv"

	"github.com/fxamacker/cbor/v2"

	"github.com/deckpulley/deckpulley/registry"
)

// operation replaces the one versioned value, or changes it, if it was built on the
// newest version.
type operation struct {
	ID   string
	Base uint64
	// Change says that the order's value is made of the one before it.
	Change bool
}

// contentAfter is the value that an order leaves, as a hash of the orders that made
// it: of itself alone, or of all since the last whole one.
func (o *operation) contentAfter(content uint64) uint64 {
	hash := fnv.New64a()
	if o.Change {
		_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, content))
	}
	_, _ = hash.Write([]byte(o.ID))
	return hash.Sum64()
}

// answer is the first and only answer to an order.
type answer struct {
	Accepted bool   `cbor:"1,keyasint"`
	Version  uint64 `cbor:"2,keyasint"` // after an accepted order, or at its refusal
	// Content is the value after an accepted order.
	Content uint64 `cbor:"3,keyasint,omitempty"`
}

const (
	typeVersion = registry.FirstPrivateType
	typeAnswer  = registry.FirstPrivateType + 1
	typeContent = registry.FirstPrivateType + 2

	apex        registry.Name = "places."
	versionName registry.Name = "version.places."
	contentName registry.Name = "content.places."
	answersName registry.Name = "orders.places."
	firstSerial uint32        = 1
	// serialReuseInterval is how often the planted fault of a serial used twice strikes.
	serialReuseInterval = 5
)

var schema = mustSchema()

func mustSchema() *registry.Schema {
	made, err := registry.NewSchema(
		registry.Kind{Type: typeVersion, Name: "VERSION", Singleton: true},
		registry.Kind{Type: typeAnswer, Name: "ORDER", Singleton: true},
		registry.Kind{Type: typeContent, Name: "CONTENT", Singleton: true},
	)
	if err != nil {
		panic(err)
	}
	return made
}

// stateMachine is the replicated state: a registry table with the version of one value
// and the answers to all orders.
type stateMachine struct {
	table *registry.Table
	// answerSerials is the serial at which an answer was, at the latest, in the table.
	answerSerials map[string]uint32
	// snapshotSerial is the serial of the newest snapshot taken in.
	snapshotSerial uint32
	reuseSerials   bool
}

func newStateMachine() *stateMachine {
	head := registry.SOA{Primary: "none", Serial: firstSerial}
	table, err := registry.New(apex, schema, head, []string{"control"})
	if err != nil {
		panic(err)
	}
	return &stateMachine{table: table, answerSerials: make(map[string]uint32), snapshotSerial: firstSerial}
}

func answerName(id string) registry.Name {
	return answersName.Child(id)
}

func answerRecord(id string, given answer) registry.Record {
	data, err := cbor.Marshal(given)
	if err != nil {
		panic(err)
	}
	return registry.Record{Name: answerName(id), Type: typeAnswer, Class: registry.ClassTable, Data: data}
}

func versionRecord(version uint64) registry.Record {
	data := binary.BigEndian.AppendUint64(nil, version)
	return registry.Record{Name: versionName, Type: typeVersion, Class: registry.ClassTable, Data: data}
}

func contentRecord(content uint64) registry.Record {
	data := binary.BigEndian.AppendUint64(nil, content)
	return registry.Record{Name: contentName, Type: typeContent, Class: registry.ClassTable, Data: data}
}

// version returns the version of the value, zero at first.
func (b *stateMachine) version() uint64 { return b.lookupNumber(versionName, typeVersion) }

// content returns the value, zero at first.
func (b *stateMachine) content() uint64 { return b.lookupNumber(contentName, typeContent) }

func (b *stateMachine) lookupNumber(name registry.Name, kind registry.Type) uint64 {
	records := b.table.View().Lookup(name, kind)
	if len(records) == 0 {
		return 0
	}
	return binary.BigEndian.Uint64(records[0].Data)
}

func (b *stateMachine) answer(id string) (answer, bool) {
	records := b.table.View().Lookup(answerName(id), typeAnswer)
	if len(records) == 0 {
		return answer{}, false
	}
	var given answer
	if err := cbor.Unmarshal(records[0].Data, &given); err != nil {
		panic(err)
	}
	return given, true
}

// answerSerial returns a serial with which the answer is in the table.
func (b *stateMachine) answerSerial(id string) uint32 {
	if serial, known := b.answerSerials[id]; known {
		return serial
	}
	return b.snapshotSerial
}

// serial returns the serial that the machine shows to others.
func (b *stateMachine) serial() uint32 {
	serial := b.table.Serial()
	if b.reuseSerials {
		return serial - serial/serialReuseInterval
	}
	return serial
}

// operationUpdate makes the update that answers an order: the change with its answer, or
// the refusal. Both hold only if nothing has moved in the meantime. content is what
// an order that changes the value is made to.
func (b *stateMachine) operationUpdate(asked operation, content uint64) registry.Update {
	version := b.version()
	prerequisites := []registry.Record{registry.Absent(answerName(asked.ID), typeAnswer)}
	if version == 0 {
		prerequisites = append(prerequisites, registry.Absent(versionName, typeVersion))
	} else {
		prerequisites = append(prerequisites, registry.Equals(versionRecord(version)))
	}
	if asked.Base != version {
		refusal := registry.Add(answerRecord(asked.ID, answer{Version: version}))
		return registry.NewUpdate(apex, prerequisites, []registry.Record{refusal})
	}
	accepted := answer{Accepted: true, Version: version + 1, Content: asked.contentAfter(content)}
	return registry.NewUpdate(apex, prerequisites, []registry.Record{
		registry.Add(versionRecord(version + 1)),
		registry.Add(contentRecord(accepted.Content)),
		registry.Add(answerRecord(asked.ID, accepted)),
	})
}

// primaryUpdate makes the update that names a new primary in the head record.
func (b *stateMachine) primaryUpdate(primary string) registry.Update {
	head := b.table.SOA()
	head.Primary = primary
	head.Serial = registry.NextSerial(head.Serial)
	return registry.NewUpdate(apex, nil, []registry.Record{registry.Add(registry.SOARecord(apex, head))})
}

// apply evaluates one update. Every machine does so in the log's order.
func (b *stateMachine) apply(data []byte) (registry.Result, error) {
	update, err := registry.DecodeUpdate(data)
	if err != nil {
		return registry.Result{}, err
	}
	result := b.table.Apply(&update, nil)
	if result.Changed {
		for _, record := range update.Changes {
			if record.Type == typeAnswer {
				b.answerSerials[operationID(record)] = result.Serial
			}
		}
	}
	return result, nil
}

// operationID returns the order that a record answers.
func operationID(record registry.Record) string {
	return record.Name.Labels()[0]
}

// snapshot encodes the state, without the answers if that fault is planted.
func (b *stateMachine) snapshot(dropAnswers bool) ([]byte, error) {
	if !dropAnswers {
		return b.table.Snapshot()
	}
	whole := b.table.TransferSince(0)
	kept := registry.Transfer{Full: true, To: whole.To}
	for _, record := range whole.Added {
		if record.Type != typeAnswer {
			kept.Added = append(kept.Added, record)
		}
	}
	copied := registry.NewSecondary(apex, schema)
	if err := copied.ApplyTransfer(kept); err != nil {
		return nil, err
	}
	return copied.Snapshot()
}

// restore replaces the state; empty data is that of a new group.
func (b *stateMachine) restore(data []byte) error {
	fresh := newStateMachine()
	fresh.reuseSerials = b.reuseSerials
	if len(data) > 0 {
		table, err := registry.Restore(schema, data)
		if err != nil {
			return err
		}
		fresh.table = table
		fresh.snapshotSerial = table.Serial()
	}
	*b = *fresh
	return nil
}

// digest identifies the whole state.
func (b *stateMachine) digest() uint64 {
	data, err := b.table.Snapshot()
	if err != nil {
		panic(err)
	}
	hash := fnv.New64a()
	_, _ = hash.Write(data)
	return hash.Sum64()
}
