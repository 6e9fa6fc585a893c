package objectstore

import (
	"encoding/base64"
	"encoding/json"
	"regexp"
)

// rawValue matches the encoding of a value that package encoding/json cannot encode.
var rawValue = regexp.MustCompile(`"raw value ([A-Za-z0-9+/=]*)"`)

// MarshalJSON implements json.Marshaler.
func (o Object) MarshalJSON() ([]byte, error) {
	type plain Object
	if len(o.Spec) > 0 && !json.Valid(o.Spec) {
		o.Spec = json.RawMessage(`"raw value ` + base64.StdEncoding.EncodeToString(o.Spec) + `"`)
	}
	return json.Marshal(plain(o))
}

// encode encodes an answer with the values of objects as they were written, valid or not.
func encode(answer any) []byte {
	data, err := json.Marshal(answer)
	if err != nil {
		panic(err)
	}
	return rawValue.ReplaceAllFunc(data, func(match []byte) []byte {
		raw, err := base64.StdEncoding.DecodeString(string(rawValue.FindSubmatch(match)[1]))
		if err != nil {
			return match
		}
		return raw
	})
}
