package simulation

import (
	"encoding/binary"
	"hash/fnv"

	"github.com/fxamacker/cbor/v2"

	"github.com/deckpulley/deckpulley/registry"
)

// Record types, names and the first serial of the table.
const (
	typeVersion = registry.FirstPrivateType
	typeAnswer  = registry.FirstPrivateType + 1
	typeContent = registry.FirstPrivateType + 2

	apex        registry.Name = "places."
	versionName registry.Name = "version.places."
	contentName registry.Name = "content.places."
	answersName registry.Name = "orders.places."
	firstSerial uint32        = 1
	// serialReuseInterval is the interval at which a serial is used twice with
	// defect.ReuseSerial.
	serialReuseInterval = 5
)

var schema = mustSchema()

func mustSchema() *registry.Schema {
	schema, err := registry.NewSchema(
		registry.TypeDeclaration{Type: typeVersion, Name: "VERSION", Singleton: true},
		registry.TypeDeclaration{Type: typeAnswer, Name: "ORDER", Singleton: true},
		registry.TypeDeclaration{Type: typeContent, Name: "CONTENT", Singleton: true},
	)
	if err != nil {
		panic(err)
	}
	return schema
}

// stateMachine is the replicated state: a registry table with one value, its version and
// the answers to all operations.
type stateMachine struct {
	table *registry.Table
	// answerSerials holds the serial at which an answer was added to the table, by
	// operation id. It lacks the answers that were restored from a snapshot.
	answerSerials map[string]uint32
	// snapshotSerial is the serial of the last restored snapshot.
	snapshotSerial uint32
	reuseSerials   bool // defect.ReuseSerial
}

func newStateMachine() *stateMachine {
	soa := registry.SOA{Primary: "none", Serial: firstSerial}
	table, err := registry.New(apex, schema, soa, []string{"control"})
	if err != nil {
		panic(err)
	}
	return &stateMachine{table: table, answerSerials: make(map[string]uint32), snapshotSerial: firstSerial}
}

func answerName(id string) registry.Name {
	return answersName.Child(id)
}

func answerRecord(id string, result answer) registry.Record {
	data, err := cbor.Marshal(result)
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

// version returns the version of the value, 0 if there is no value yet.
func (s *stateMachine) version() uint64 { return s.lookupNumber(versionName, typeVersion) }

// content returns the value, 0 if there is none yet.
func (s *stateMachine) content() uint64 { return s.lookupNumber(contentName, typeContent) }

func (s *stateMachine) lookupNumber(name registry.Name, kind registry.Type) uint64 {
	records := s.table.View().Lookup(name, kind)
	if len(records) == 0 {
		return 0
	}
	return binary.BigEndian.Uint64(records[0].Data)
}

// answer returns the answer to an operation and reports whether there is one.
func (s *stateMachine) answer(id string) (answer, bool) {
	records := s.table.View().Lookup(answerName(id), typeAnswer)
	if len(records) == 0 {
		return answer{}, false
	}
	var stored answer
	if err := cbor.Unmarshal(records[0].Data, &stored); err != nil {
		panic(err)
	}
	return stored, true
}

// answerSerial returns a serial at which the table is known to contain the answer.
func (s *stateMachine) answerSerial(id string) uint32 {
	if serial, known := s.answerSerials[id]; known {
		return serial
	}
	return s.snapshotSerial
}

// serial returns the serial of the table as the machine reports it.
func (s *stateMachine) serial() uint32 {
	serial := s.table.Serial()
	if s.reuseSerials {
		return serial - serial/serialReuseInterval
	}
	return serial
}

// operationUpdate returns the update that answers an operation: the new value and an
// accepting answer, or a refusal. Its prerequisites make it fail if the version has changed
// or the operation was answered in the meantime. content is the value to which an operation
// with Change set is applied.
func (s *stateMachine) operationUpdate(requested operation, content uint64) registry.Update {
	version := s.version()
	prerequisites := []registry.Record{registry.Absent(answerName(requested.ID), typeAnswer)}
	if version == 0 {
		prerequisites = append(prerequisites, registry.Absent(versionName, typeVersion))
	} else {
		prerequisites = append(prerequisites, registry.Equals(versionRecord(version)))
	}
	if requested.Base != version {
		refusal := registry.Add(answerRecord(requested.ID, answer{Version: version}))
		return registry.NewUpdate(apex, prerequisites, []registry.Record{refusal})
	}
	accepted := answer{Accepted: true, Version: version + 1, Content: requested.contentAfter(content)}
	return registry.NewUpdate(apex, prerequisites, []registry.Record{
		registry.Add(versionRecord(version + 1)),
		registry.Add(contentRecord(accepted.Content)),
		registry.Add(answerRecord(requested.ID, accepted)),
	})
}

// primaryUpdate returns the update that names a new primary in the SOA record.
func (s *stateMachine) primaryUpdate(primary string) registry.Update {
	soa := s.table.SOA()
	soa.Primary = primary
	soa.Serial = registry.NextSerial(soa.Serial)
	return registry.NewUpdate(apex, nil, []registry.Record{registry.Add(registry.SOARecord(apex, soa))})
}

// apply applies an update from the log to the table.
func (s *stateMachine) apply(data []byte) (registry.Result, error) {
	update, err := registry.DecodeUpdate(data)
	if err != nil {
		return registry.Result{}, err
	}
	result := s.table.Apply(&update, nil)
	if result.Changed {
		for _, record := range update.Changes {
			if record.Type == typeAnswer {
				s.answerSerials[operationID(record)] = result.Serial
			}
		}
	}
	return result, nil
}

// operationID returns the id of the operation that a record answers.
func operationID(record registry.Record) string {
	return record.Name.Labels()[0]
}

// snapshot encodes the state. With dropAnswers (defect.SnapshotDropsOrders) it omits the
// answers.
func (s *stateMachine) snapshot(dropAnswers bool) ([]byte, error) {
	if !dropAnswers {
		return s.table.Snapshot()
	}
	complete := s.table.TransferSince(0)
	reducedTransfer := registry.Transfer{Full: true, To: complete.To}
	for _, record := range complete.Added {
		if record.Type != typeAnswer {
			reducedTransfer.Added = append(reducedTransfer.Added, record)
		}
	}
	reduced := registry.NewSecondary(apex, schema)
	if err := reduced.ApplyTransfer(reducedTransfer); err != nil {
		return nil, err
	}
	return reduced.Snapshot()
}

// restore replaces the state with that of a snapshot. Empty data represents the state of a
// new group.
func (s *stateMachine) restore(data []byte) error {
	restored := newStateMachine()
	restored.reuseSerials = s.reuseSerials
	if len(data) > 0 {
		table, err := registry.Restore(schema, data)
		if err != nil {
			return err
		}
		restored.table = table
		restored.snapshotSerial = table.Serial()
	}
	*s = *restored
	return nil
}

// digest returns a hash of the whole table.
func (s *stateMachine) digest() uint64 {
	data, err := s.table.Snapshot()
	if err != nil {
		panic(err)
	}
	hash := fnv.New64a()
	_, _ = hash.Write(data)
	return hash.Sum64()
}
