// Package fielddiff names the fields in which two values of a struct type differ.
package fielddiff

import (
	"reflect"
	"strings"
)

// Names returns the names of the exported fields in which two values of the same struct type
// differ, in the order of the fields. A field's name is that in its tag with the given key,
// such as yaml; fields of nested structs have the names of both, joined by a dot.
func Names(before, after any, tag string) []string {
	return names(reflect.ValueOf(before), reflect.ValueOf(after), tag, "")
}

// All returns the names of all exported fields of a struct, as in Names.
func All(value any, tag string) []string {
	return all(reflect.TypeOf(value), tag, "")
}

func names(before, after reflect.Value, tag, prefix string) []string {
	var changed []string
	for i := range before.NumField() {
		field := before.Type().Field(i)
		if !field.IsExported() {
			continue
		}
		name := prefix + fieldName(field, tag)
		if field.Type.Kind() == reflect.Struct {
			changed = append(changed, names(before.Field(i), after.Field(i), tag, name+".")...)
			continue
		}
		if !reflect.DeepEqual(before.Field(i).Interface(), after.Field(i).Interface()) {
			changed = append(changed, name)
		}
	}
	return changed
}

func all(structType reflect.Type, tag, prefix string) []string {
	var found []string
	for i := range structType.NumField() {
		field := structType.Field(i)
		if !field.IsExported() {
			continue
		}
		name := prefix + fieldName(field, tag)
		if field.Type.Kind() == reflect.Struct {
			found = append(found, all(field.Type, tag, name+".")...)
			continue
		}
		found = append(found, name)
	}
	return found
}

func fieldName(field reflect.StructField, tag string) string {
	name, _, _ := strings.Cut(field.Tag.Get(tag), ",")
	if name == "" {
		return field.Name
	}
	return name
}
