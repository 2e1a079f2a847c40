package patch

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// itemNameField is the field that contains an item's name, in lists of items.
const itemNameField = "name"

// member is one member of a JSON object.
type member struct {
	name  string
	value json.RawMessage
}

// object is a JSON object that preserves the order of its members.
type object []member

// findOrAdd returns the member with a name. If there is none, it appends one with the
// value missing. The pointer is valid until the next call.
func (o *object) findOrAdd(name string, missing json.RawMessage) *member {
	for i := range *o {
		if (*o)[i].name == name {
			return &(*o)[i]
		}
	}
	*o = append(*o, member{name: name, value: missing})
	return &(*o)[len(*o)-1]
}

// ApplyJSON applies a valid change to a JSON object whose sections are lists of objects,
// each with a "name". set assigns values to further members of the object. Existing
// items remain at their positions; added ones are appended in the order of the change.
// The text of all items and members that are not named is preserved. The error is a
// *FieldError.
func ApplyJSON(document string, change *Change, set map[string]json.RawMessage) (string, error) {
	members, err := decodeObject(document)
	if err != nil {
		return "", &FieldError{Field: "document", Reason: err.Error()}
	}
	for i := range change.Sections {
		section := &change.Sections[i]
		if section.isEmpty() {
			continue
		}
		list := members.findOrAdd(section.Name, json.RawMessage("[]"))
		if list.value, err = section.applyToList(list.value); err != nil {
			return "", err
		}
	}
	for name, value := range set {
		members.findOrAdd(name, nil).value = value
	}
	return encodeObject(members)
}

// applyToList returns the list with the section's items replaced, removed and added.
func (s *Section) applyToList(list json.RawMessage) (json.RawMessage, error) {
	var items []json.RawMessage
	if err := json.Unmarshal(list, &items); err != nil {
		return nil, &FieldError{Field: s.Name, Reason: "is not a list: " + err.Error()}
	}
	removed := s.removals()
	upserted := s.upserts()
	result := items[:0]
	present := make(map[string]bool, len(items))
	for i, item := range items {
		name, err := nameOf(item)
		if err != nil {
			return nil, &FieldError{Field: fmt.Sprintf("%s[%d].%s", s.Name, i, itemNameField), Reason: err.Error()}
		}
		if removed[name] {
			continue
		}
		if value, replaced := upserted[name]; replaced {
			item = json.RawMessage(value)
		}
		present[name] = true
		result = append(result, item)
	}
	for _, item := range s.Upsert {
		if !present[item.Name] {
			result = append(result, json.RawMessage(item.Value))
		}
	}
	encoded, err := encodeList(result)
	if err != nil {
		return nil, &FieldError{Field: "upsert." + s.Name, Reason: err.Error()}
	}
	return encoded, nil
}

// nameOf returns the name of an item in a list, "" if it has none.
func nameOf(item json.RawMessage) (string, error) {
	var named struct {
		Name string `json:"name"`
	}
	err := json.Unmarshal(item, &named)
	return named.Name, err
}

// decodeObject decodes the members of one JSON object in order. An empty text is an
// empty object. If a name is repeated, its last value is used.
func decodeObject(text string) (object, error) {
	if text == "" {
		return nil, nil
	}
	decoder := json.NewDecoder(bytes.NewReader([]byte(text)))
	opening, err := decoder.Token()
	if err != nil {
		return nil, err
	}
	if opening != json.Delim('{') {
		return nil, errors.New("must be an object")
	}
	var members object
	for decoder.More() {
		if err := members.decodeMember(decoder); err != nil {
			return nil, err
		}
	}
	if _, err := decoder.Token(); err != nil {
		return nil, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("unexpected data after the object")
	}
	return members, nil
}

func (o *object) decodeMember(decoder *json.Decoder) error {
	key, err := decoder.Token()
	if err != nil {
		return err
	}
	var value json.RawMessage
	if err := decoder.Decode(&value); err != nil {
		return err
	}
	name, _ := key.(string) // the decoder accepts no other key
	o.findOrAdd(name, nil).value = value
	return nil
}

// encodeList encodes a list and preserves the text of its items.
func encodeList(items []json.RawMessage) (json.RawMessage, error) {
	var list bytes.Buffer
	list.WriteByte('[')
	for i, item := range items {
		if !json.Valid(item) {
			return nil, fmt.Errorf("item %d is not valid JSON", i)
		}
		if i > 0 {
			list.WriteByte(',')
		}
		list.Write(item)
	}
	list.WriteByte(']')
	return list.Bytes(), nil
}

// encodeObject encodes an object and preserves the text of its values.
func encodeObject(members object) (string, error) {
	var text bytes.Buffer
	text.WriteByte('{')
	for i, member := range members {
		if i > 0 {
			text.WriteByte(',')
		}
		name, err := json.Marshal(member.name)
		if err != nil {
			return "", &FieldError{Field: member.name, Reason: err.Error()}
		}
		text.Write(name)
		text.WriteByte(':')
		text.Write(member.value)
	}
	text.WriteByte('}')
	return text.String(), nil
}
