/* Read before `streamfoldd.ld` on arm64. There a call of the C library goes by the procedure linkage table and needs
   nothing in `.got`. */
SECTIONS
{
  .plt : { *(.plt) }
  ASSERT(SIZEOF(.plt) == 0, "the launcher uses code of another crate")
}
