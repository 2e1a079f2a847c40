package patch

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// itemName is the field that names an item of a list.
const itemName = "name"

// member is one member of a JSON object, in its place.
type member struct {
	name  string
	value json.RawMessage
}

// ApplyJSON applies a valid change to a JSON object whose sections are lists of
// objects with a "name" each. set gives further members of the object new values.
// Items keep their places; new ones follow in the order of the change. What is
// not named keeps its text. The error is a *Problem.
func ApplyJSON(document string, change *Change, set map[string]json.RawMessage) (string, error) {
	members, err := readObject(document)
	if err != nil {
		return "", err
	}
	for i := range change.Sections {
		section := &change.Sections[i]
		if len(section.Upsert)+len(section.Remove) == 0 {
			continue
		}
		at := place(&members, section.Name, json.RawMessage("[]"))
		if members[at].value, err = section.applyToList(members[at].value); err != nil {
			return "", err
		}
	}
	for name, value := range set {
		members[place(&members, name, nil)].value = value
	}
	return writeObject(members)
}

// place returns the position of a member, which is appended if it is missing.
func place(members *[]member, name string, value json.RawMessage) int {
	for i := range *members {
		if (*members)[i].name == name {
			return i
		}
	}
	*members = append(*members, member{name: name, value: value})
	return len(*members) - 1
}

// applyToList returns the list with the section's items replaced, removed and added.
func (s *Section) applyToList(list json.RawMessage) (json.RawMessage, error) {
	var items []json.RawMessage
	if err := json.Unmarshal(list, &items); err != nil {
		return nil, &FieldError{Field: s.Name, Reason: "is no list: " + err.Error()}
	}
	removed := s.removals()
	upserted := s.upserts()
	kept := items[:0]
	present := make(map[string]bool, len(items))
	for i, item := range items {
		var named struct {
			Name string `json:"name"`
		}
		if err := json.Unmarshal(item, &named); err != nil {
			return nil, &FieldError{Field: fmt.Sprintf("%s[%d].%s", s.Name, i, itemName), Reason: err.Error()}
		}
		if removed[named.Name] {
			continue
		}
		if value, replaced := upserted[named.Name]; replaced {
			item = json.RawMessage(value)
		}
		present[named.Name] = true
		kept = append(kept, item)
	}
	for _, item := range s.Upsert {
		if !present[item.Name] {
			kept = append(kept, json.RawMessage(item.Value))
		}
	}
	encoded, err := encodeList(kept)
	if err != nil {
		return nil, &FieldError{Field: "upsert." + s.Name, Reason: err.Error()}
	}
	return encoded, nil
}

// readObject reads the members of one JSON object in their order; an empty text is
// an empty object. Of members that stand twice the last counts.
func readObject(text string) ([]member, error) {
	if text == "" {
		return nil, nil
	}
	decoder := json.NewDecoder(bytes.NewReader([]byte(text)))
	opening, err := decoder.Token()
	if err != nil {
		return nil, &FieldError{Field: "document", Reason: err.Error()}
	}
	if opening != json.Delim('{') {
		return nil, &FieldError{Field: "document", Reason: "must be an object"}
	}
	var members []member
	for decoder.More() {
		if err := readMember(decoder, &members); err != nil {
			return nil, &FieldError{Field: "document", Reason: err.Error()}
		}
	}
	if _, err := decoder.Token(); err != nil {
		return nil, &FieldError{Field: "document", Reason: err.Error()}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, &FieldError{Field: "document", Reason: "something follows the object"}
	}
	return members, nil
}

func readMember(decoder *json.Decoder, members *[]member) error {
	key, err := decoder.Token()
	if err != nil {
		return err
	}
	var value json.RawMessage
	if err := decoder.Decode(&value); err != nil {
		return err
	}
	name, _ := key.(string) // a key of an object is a string
	(*members)[place(members, name, nil)].value = value
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

func writeObject(members []member) (string, error) {
	var object bytes.Buffer
	object.WriteByte('{')
	for i, member := range members {
		if i > 0 {
			object.WriteByte(',')
		}
		name, err := json.Marshal(member.name)
		if err != nil {
			return "", &FieldError{Field: member.name, Reason: err.Error()}
		}
		object.Write(name)
		object.WriteByte(':')
		object.Write(member.value)
	}
	object.WriteByte('}')
	return object.String(), nil
}
