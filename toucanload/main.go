// Command toucanload drives load and measures.
package main

import _ "toucanstair.example/core/toucanfault"

func main() {}
