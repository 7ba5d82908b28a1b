/** Maximum number of control VMs that a process knows besides its seeds; several times those of a large fleet. */
export const MAX_CONTROL_VMS = 64;
