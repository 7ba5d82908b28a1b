/** Environment variable with the path of the file that holds the disk profile of a process, in JSON. */
export const diskProfileVariable = "GYPSUMPULLEY_DISK_PROFILE";
