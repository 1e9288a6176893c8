// Command toucantarget is a stand-in of a target.
package main

import _ "toucanstair.example/core/toucanfault"

func main() {}
