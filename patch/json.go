package patch

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// itemName is the field of an item that has its name, in lists of items.
const itemName = "name"

// member is one member of a JSON object.
type member struct {
	name  string
	value json.RawMessage
}

// object is a JSON object that keeps the order of its members.
type object []member

// member returns the member of the name. A missing one is appended with the value
// given. The pointer is valid until the next call.
func (o *object) member(name string, missing json.RawMessage) *member {
	for i := range *o {
		if (*o)[i].name == name {
			return &(*o)[i]
		}
	}
	*o = append(*o, member{name: name, value: missing})
	return &(*o)[len(*o)-1]
}

// ApplyJSON applies a valid change to a JSON object whose sections are lists of
// objects with a "name" each. set assigns values to further members of the object.
// Items keep their positions; added ones follow in the order of the change. The
// text of what is not named stays as it is. The error is a *FieldError.
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
		list := members.member(section.Name, json.RawMessage("[]"))
		if list.value, err = section.applyToList(list.value); err != nil {
			return "", err
		}
	}
	for name, value := range set {
		members.member(name, nil).value = value
	}
	return encodeObject(members)
}

// applyToList returns the list with the section's items replaced, removed and added.
func (s *Section) applyToList(list json.RawMessage) (json.RawMessage, error) {
	var items []json.RawMessage
	if err := json.Unmarshal(list, &items); err != nil {
		return nil, &FieldError{Field: s.Name, Reason: "is no list: " + err.Error()}
	}
	removed := s.removals()
	upserted := s.upserts()
	result := items[:0]
	present := make(map[string]bool, len(items))
	for i, item := range items {
		name, err := nameOf(item)
		if err != nil {
			return nil, &FieldError{Field: fmt.Sprintf("%s[%d].%s", s.Name, i, itemName), Reason: err.Error()}
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

// nameOf returns the name of a list's item, "" if it has none.
func nameOf(item json.RawMessage) (string, error) {
	var named struct {
		Name string `json:"name"`
	}
	err := json.Unmarshal(item, &named)
	return named.Name, err
}

// decodeObject reads the members of one JSON object in their order. An empty text
// is an empty object. A name that occurs twice has its last value.
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
		return nil, errors.New("something follows the object")
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
	o.member(name, nil).value = value
	return nil
}

// encodeList writes a list whose items keep their text.
func encodeList(items []json.RawMessage) (json.RawMessage, error) {
	var list bytes.Buffer
	list.WriteByte('[')
	for i, item := range items {
		if !json.Valid(item) {
			return nil, fmt.Errorf("item %d is not JSON", i)
		}
		if i > 0 {
			list.WriteByte(',')
		}
		list.Write(item)
	}
	list.WriteByte(']')
	return list.Bytes(), nil
}

// encodeObject writes an object whose values keep their text.
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
