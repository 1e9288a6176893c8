// Command toucanstair is the entry host of the query tier.
package main

import _ "toucanstair.example/core/toucanfault"

func main() {}
