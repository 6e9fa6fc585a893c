package fleetconfig

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/samber/lo"
)

// String returns the scope in the form "service=holds data_centre=mapo".
func (s Scope) String() string {
	parts := []string{}
	for _, f := range []struct{ key, value string }{
		{"service", s.Service},
		{"model", s.Model},
		{"data_centre", s.DataCentre},
		{"backend_server", s.BackendServer},
	} {
		if f.value != "" {
			parts = append(parts, f.key+"="+f.value)
		}
	}
	return strings.Join(parts, " ")
}

// Keys returns the JSON names of the fields of Values, in order.
func Keys() []string {
	all := BuiltIn()
	all.Weights = ptr("")
	all.Adapters = []string{""}
	keys := lo.Keys(all.jsonFields())
	slices.Sort(keys)
	return keys
}

// String returns the values that are set, sorted by key, in the form
// "class=batch deadline=30s".
func (v Values) String() string {
	fields := v.jsonFields()
	keys := lo.Keys(fields)
	slices.Sort(keys)
	parts := lo.Map(keys, func(key string, _ int) string { return key + "=" + v.Text(key) })
	return strings.Join(parts, " ")
}

// Text returns the value of a key as operators write it, or "" if it is not set.
func (v Values) Text(key string) string {
	raw, ok := v.jsonFields()[key]
	if !ok {
		return ""
	}
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	var list []string
	if json.Unmarshal(raw, &list) == nil {
		return strings.Join(list, ",")
	}
	return string(raw)
}

func (v Values) without(key string) Values {
	fields := v.jsonFields()
	delete(fields, key)
	return valuesFromFields(fields)
}

func (v Values) jsonFields() map[string]json.RawMessage {
	fields := map[string]json.RawMessage{}
	if json.Unmarshal(encodeValues(v), &fields) != nil {
		return nil
	}
	return fields
}

func valuesFromFields(fields map[string]json.RawMessage) Values {
	var v Values
	data, err := json.Marshal(fields)
	if err == nil {
		err = json.Unmarshal(data, &v)
	}
	if err != nil {
		return Values{}
	}
	return v
}

// ParseValues parses and validates values given as KEY=VALUE pairs.
func ParseValues(pairs []string) (Values, error) {
	var v Values
	for _, pair := range pairs {
		key, text, ok := strings.Cut(pair, "=")
		if !ok || !slices.Contains(Keys(), key) {
			return Values{}, eris.Errorf("%q is not KEY=VALUE with a KEY of %s", pair, strings.Join(Keys(), ", "))
		}
		one, err := parseValue(key, text)
		if err != nil {
			return Values{}, err
		}
		v = overlay(v, one)
	}
	return v, eris.Wrap(v.Validate(), "values")
}

// parseValue tries the JSON types that a field may have: text itself as a number
// or boolean, a string, and a list of strings separated by commas.
func parseValue(key, text string) (Values, error) {
	list, _ := json.Marshal(strings.Split(text, ","))
	quoted, _ := json.Marshal(text)
	var err error
	for _, form := range [][]byte{[]byte(text), quoted, list} {
		if !json.Valid(form) {
			continue
		}
		data, encodeErr := json.Marshal(map[string]json.RawMessage{key: form})
		if encodeErr != nil {
			return Values{}, eris.Wrap(encodeErr, key)
		}
		var v Values
		if err = decodeStrict(data, &v); err == nil {
			return v, nil
		}
	}
	return Values{}, eris.Wrapf(err, "%s: %q is not a value of this key", key, text)
}
