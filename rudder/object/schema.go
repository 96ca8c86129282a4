package object

import (
	"fmt"
	"reflect"
	"sort"
	"strings"
)

var objectType = reflect.TypeOf(Object{})

// checkSchema compares a generic value with the Go type that it will be decoded into and returns all unknown fields and
// wrong types. encoding/json would report only the first one. path is the field path of the value.
func checkSchema(object, path string, value any, t reflect.Type) Problems {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	typeProblem := func(allowed string) Problems {
		return Problems{{Object: object, Field: path, Value: formatValue(value), Allowed: allowed}}
	}
	switch t.Kind() {
	case reflect.Struct:
		fields, isMap := value.(map[string]any)
		if !isMap {
			return typeProblem("fields " + strings.Join(fieldNames(t), ", "))
		}
		return checkFields(object, path, fields, t)
	case reflect.Slice:
		items, isList := value.([]any)
		if !isList {
			return typeProblem("a list")
		}
		var problems Problems
		for i, item := range items {
			problems = append(problems, checkSchema(object, fmt.Sprintf("%s[%d]", path, i), item, t.Elem())...)
		}
		return problems
	case reflect.String:
		if _, isString := value.(string); !isString {
			return typeProblem("a string (quote it)")
		}
	case reflect.Int, reflect.Int64:
		if _, isInt := value.(int); !isInt {
			return typeProblem("an integer")
		}
	case reflect.Float64:
		_, isInt := value.(int)
		if _, isFloat := value.(float64); !isFloat && !isInt {
			return typeProblem("a number")
		}
	}
	return nil
}

// checkFields applies checkSchema to the fields of a struct of type t.
func checkFields(object, path string, fields map[string]any, t reflect.Type) Problems {
	known := map[string]reflect.Type{}
	for i := range t.NumField() {
		known[jsonName(t.Field(i))] = t.Field(i).Type
	}
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	var problems Problems
	for _, name := range names {
		fieldPath := strings.TrimPrefix(path+"."+name, ".")
		fieldType, found := known[name]
		if !found {
			problems = append(problems, Problem{
				Object: object, Field: fieldPath, Value: formatValue(fields[name]),
				Allowed: "no such field; fields are " + strings.Join(fieldNames(t), ", "),
			})
			continue
		}
		problems = append(problems, checkSchema(object, fieldPath, fields[name], fieldType)...)
	}
	return problems
}

// fieldNames returns the JSON names of the fields of a struct type.
func fieldNames(t reflect.Type) []string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i] = jsonName(t.Field(i))
	}
	return names
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}
