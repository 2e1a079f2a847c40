package catalog

import (
	"maps"

	"github.com/deckpulley/deckpulley/registry"
)

// objectSet is a set of decoded objects of any kind.
type objectSet interface {
	// copy gives the set a map of its own, so that others may read the old one.
	copy()
	put(record registry.Record) error
	drop(record registry.Record) error
}

// objects are the decoded objects of one kind by name.
type objects[T any] map[string]T

func (o *objects[T]) copy() { *o = maps.Clone(*o) }

func (o *objects[T]) put(record registry.Record) error {
	object, err := ObjectName(record.Name)
	if err != nil {
		return err
	}
	value, err := decodeAs[T](record)
	if err != nil {
		return err
	}
	(*o)[object] = value
	return nil
}

func (o *objects[T]) drop(record registry.Record) error {
	object, err := ObjectName(record.Name)
	if err != nil {
		return err
	}
	delete(*o, object)
	return nil
}
