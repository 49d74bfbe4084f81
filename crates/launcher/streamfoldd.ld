/* Links `streamfoldd` from the code of the launcher only, in one segment. Cargo also links the standard library, which is
   never set up in this program: the launcher that uses any of it does not link, instead of crashing when it runs. */
ENTRY(_start)
PHDRS
{
  program PT_LOAD FILEHDR PHDRS FLAGS(5); /* read and execute */
  stack PT_GNU_STACK FLAGS(6);            /* read and write */
}
SECTIONS
{
  . = 0x400000 + SIZEOF_HEADERS;
  .text : { *libstreamfold_launcher*:*(.text .text.* .rodata .rodata.*) } :program
  ASSERT(SIZEOF(.text) != 0, "the code of the launcher is not in its own library")
  .got : { *(.got) }
  ASSERT(SIZEOF(.got) == 0, "the launcher uses code of another crate")
  .symtab : { *(.symtab) }
  .strtab : { *(.strtab) }
  .shstrtab : { *(.shstrtab) }
  /DISCARD/ : { *(*) }
}
