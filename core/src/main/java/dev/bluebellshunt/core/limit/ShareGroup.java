package dev.bluebellshunt.core.limit;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Partitions workspaces into a fixed number of groups. Each group has one record in the store, which
 * divides the group's limits among a few VMs.
 */
public final class ShareGroup {

    /** The number of groups. */
    public static final int COUNT = 16;

    /** The number of VMs that should hold a share of each group. */
    public static final int HOLDERS_PER_GROUP = 8;

    /** The key prefix of group records in the store. */
    public static final String KEY_PREFIX = "limits/shares/";

    private ShareGroup() {}

    /**
     * Returns the group of a workspace.
     *
     * @param workspace the workspace's name
     * @return the group number, from 0 to {@link #COUNT} - 1
     */
    public static int groupOf(String workspace) {
        return (int) Long.remainderUnsigned(Hashing.komihash5_0().hashCharsToLong(workspace), COUNT);
    }

    /**
     * Returns the store key of a group's record.
     *
     * @param group the group number
     * @return the key
     */
    public static String recordKey(int group) {
        return KEY_PREFIX + group;
    }
}
