// Command placeholder is replaced by the thin path.
package main

import _ "runtime/cgo"

func main() {}
