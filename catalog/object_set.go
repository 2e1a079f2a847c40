package catalog

import (
	"maps"

	"github.com/deckpulley/deckpulley/registry"
)

// objectSet is a set of decoded objects of any type.
type objectSet interface {
	// clone replaces the set's map by a copy, so that a former state can continue to use
	// the shared map.
	clone()
	put(record registry.Record) error
	remove(record registry.Record) error
}

// objects are the decoded objects of one type by name.
type objects[T any] map[string]T

func (o *objects[T]) clone() { *o = maps.Clone(*o) }

func (o *objects[T]) put(record registry.Record) error {
	object, err := ObjectName(record.Name)
	if err != nil {
		return err
	}
	value, err := decodeRecord[T](record)
	if err != nil {
		return err
	}
	(*o)[object] = value
	return nil
}

func (o *objects[T]) remove(record registry.Record) error {
	object, err := ObjectName(record.Name)
	if err != nil {
		return err
	}
	delete(*o, object)
	return nil
}
