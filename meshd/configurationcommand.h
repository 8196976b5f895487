#ifndef CACTUSDECK_MESHD_CONFIGURATIONCOMMAND_H
#define CACTUSDECK_MESHD_CONFIGURATIONCOMMAND_H

#include <iosfwd>
#include <string>

// Implementation of cactusdeck-mesh check. Writes one line for each finding and each difference.
//
//     return checkConfigurationFile({ .file = "main.json" }, std::cout, std::cerr);

namespace cactusdeck::meshd {

struct ConfigurationFiles
{
    std::string file;
    std::string against; // the version in force; empty: not known
};

inline constexpr int exitValid = 0; // differences are no findings
inline constexpr int exitFindings = 1;
inline constexpr int exitUnusable = 2; // a file cannot be read, or against is no configuration

int checkConfigurationFile(const ConfigurationFiles &files, std::ostream &out, std::ostream &err);

} // namespace cactusdeck::meshd

#endif // CACTUSDECK_MESHD_CONFIGURATIONCOMMAND_H
