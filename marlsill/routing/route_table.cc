#include "marlsill/routing/route_table.h"

#include "marlsill/base/hash.h"

namespace marlsill::routing {

namespace {

    int hexValue(char digit)
    {
        if (digit >= '0' && digit <= '9') {
            return digit - '0';
        }
        if (digit >= 'a' && digit <= 'f') {
            return digit - 'a' + 10;
        }
        if (digit >= 'A' && digit <= 'F') {
            return digit - 'A' + 10;
        }
        return -1;
    }

    std::optional<char> decodeAt(std::string_view text, std::size_t position)
    {
        if (position + 2 >= text.size()) {
            return std::nullopt;
        }
        int high = hexValue(text[position + 1]);
        int low = hexValue(text[position + 2]);
        if (high < 0 || low < 0) {
            return std::nullopt;
        }
        return static_cast<char>(high * 16 + low);
    }

    bool hasAmbiguousSegment(std::string_view path)
    {
        std::size_t start = 1;
        while (start <= path.size()) {
            auto end = std::min(path.find('/', start), path.size());
            auto segment = path.substr(start, end - start);
            bool isLast = end == path.size();
            if (segment == "." || segment == ".." || (segment.empty() && !isLast)) {
                return true;
            }
            start = end + 1;
        }
        return false;
    }

    std::string_view withoutTrailingSlash(std::string_view path)
    {
        return path.ends_with('/') ? path.substr(0, path.size() - 1) : path;
    }

    std::string_view withoutPort(std::string_view host) { return host.substr(0, host.find(':')); }

}

std::optional<std::string> canonicalPath(std::string_view target)
{
    if (target.empty() || target.front() != '/') {
        return std::nullopt;
    }
    target = target.substr(0, target.find_first_of("?#"));
    std::string path;
    path.reserve(target.size());
    for (std::size_t position = 0; position < target.size(); ++position) {
        char character = target[position];
        if (character == '%') {
            auto decoded = decodeAt(target, position);
            bool isAmbiguous = !decoded || *decoded == '/' || *decoded == '\\';
            if (isAmbiguous) {
                return std::nullopt;
            }
            character = *decoded;
            position += 2;
        }
        auto byte = static_cast<unsigned char>(character);
        if (byte < 0x20 || byte == 0x7F || character == '\\') {
            return std::nullopt;
        }
        path.push_back(character);
    }
    if (hasAmbiguousSegment(path)) {
        return std::nullopt;
    }
    return path;
}

bool matchesPathPrefix(std::string_view path, std::string_view prefix)
{
    prefix = withoutTrailingSlash(prefix);
    return path.starts_with(prefix) && (path.size() == prefix.size() || path[prefix.size()] == '/');
}

route_table::route_table(std::span<const route> routes)
    : m_routes(routes.begin(), routes.end())
{
    m_index.reserve(m_routes.size());
    for (std::uint32_t index = 0; index < m_routes.size(); ++index) {
        auto& each = m_routes[index];
        each.pathPrefix = std::string(withoutTrailingSlash(each.pathPrefix));
        m_index.emplace(fastHash(each.pathPrefix, fastHash(each.host)), index);
    }
}

std::optional<service_index> route_table::findExact(
    std::uint64_t hostHash, std::string_view host, std::string_view path) const
{
    auto [begin, end] = m_index.equal_range(fastHash(path, hostHash));
    for (auto each = begin; each != end; ++each) {
        const auto& candidate = m_routes[each->second];
        if (candidate.host == host && candidate.pathPrefix == path) {
            return candidate.service;
        }
    }
    return std::nullopt;
}

std::optional<service_index> route_table::find(std::string_view host, std::string_view path) const
{
    host = withoutPort(host);
    auto hostHash = fastHash(host);
    auto anyHostHash = fastHash("");
    path = withoutTrailingSlash(path);
    while (true) {
        if (auto exact = findExact(hostHash, host, path)) {
            return exact;
        }
        if (auto any = findExact(anyHostHash, "", path)) {
            return any;
        }
        if (path.empty()) {
            return std::nullopt;
        }
        path = path.substr(0, path.rfind('/'));
    }
}

}
