// Command toucandemo runs a small deployment as a demonstration.
package main

import _ "toucanstair.example/core/toucanfault"

func main() {}
