// Releases the memory of strings and other containers.
#ifndef APRICOTYARD_RELEASE_H
#define APRICOTYARD_RELEASE_H

namespace apricotyard {

// Empties aContainer and frees its buffer, which an assignment of an empty container may keep.
// Thread-safe for distinct containers.
template<typename Container>
void
Release(Container& aContainer)
{
  Container().swap(aContainer);
}

} // namespace apricotyard

#endif
