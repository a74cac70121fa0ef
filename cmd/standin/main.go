// Command standin runs stand-ins of the systems around turmericshunt.
package main

func main() {}
