"""NVMe over TCP, a subset: the codec, the front for clients and the back for boxes."""
